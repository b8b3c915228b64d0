package dev.nutmegdoor.node.upstream;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.key.Authentication;
import dev.nutmegdoor.core.key.KeyAuthenticator;

/**
 * Finds callers' keys in text that is about to leave for an upstream.
 */
public final class KeyScanner {

	private static final String PREFIX = "nd_";

	private static final Pattern KEY = Pattern.compile("nd_[A-Za-z0-9.~-]+_[A-Za-z0-9._~-]+");

	private final KeyAuthenticator authenticator;

	public KeyScanner(KeyAuthenticator authenticator) {
		this.authenticator = authenticator;
	}

	/**
	 * Returns whether a text contains a key of any caller, withdrawn keys included.
	 * @param text the text
	 * @return {@code true} if it does
	 */
	public boolean containsKey(String text) {
		int start = text.indexOf(PREFIX);
		Matcher matcher = KEY.matcher(text);
		while (start >= 0 && matcher.find(start)) {
			Authentication authentication = this.authenticator.authenticate(matcher.group());
			if (authentication.key() != null || authentication.refusal() == RefusalReason.KEY_WITHDRAWN
					|| authentication.refusal() == RefusalReason.KEY_STATE_UNKNOWN) {
				return true;
			}
			start = text.indexOf(PREFIX, matcher.start() + 1);
		}
		return false;
	}

}
