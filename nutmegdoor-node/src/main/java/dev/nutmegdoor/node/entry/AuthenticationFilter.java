package dev.nutmegdoor.node.entry;

import java.util.Locale;
import java.util.Map;

import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.key.Authentication;
import dev.nutmegdoor.core.key.KeyAuthenticator;

/**
 * Authenticates the API key of a request, determines its workspace and removes the key
 * from the request, so that no later step can forward it to an upstream.
 */
public final class AuthenticationFilter implements RequestFilter {

	private static final String SCHEME_PREFIX = "bearer ";

	private static final String AUTHORIZATION = "Authorization";

	private final KeyAuthenticator authenticator;

	public AuthenticationFilter(KeyAuthenticator authenticator) {
		this.authenticator = authenticator;
	}

	@Override
	public Mono<Void> filter(Exchange exchange) {
		String authorization = exchange.header(AUTHORIZATION);
		exchange.request().requestHeaders().remove(AUTHORIZATION);
		RoutedRequest routed = exchange.routedOrNull();
		if (routed != null && !routed.isKeyRequired()) {
			return Mono.empty();
		}
		if (authorization == null || !authorization.toLowerCase(Locale.ROOT).startsWith(SCHEME_PREFIX)) {
			return refuse(RefusalReason.UNAUTHENTICATED, "the header Authorization: Bearer <key> is missing");
		}
		String presentedKey = authorization.substring(SCHEME_PREFIX.length()).strip();
		Authentication authentication = this.authenticator.authenticate(presentedKey);
		KeyId key = authentication.key();
		WorkspaceId workspace = authentication.workspace();
		if (key == null || workspace == null) {
			RefusalReason reason = authentication.refusal();
			return refuse((reason != null) ? reason : RefusalReason.UNAUTHENTICATED,
					(reason == RefusalReason.KEY_WITHDRAWN) ? "the key was withdrawn" : "the key is not known");
		}
		if (isKeyOutsideAuthorization(exchange, presentedKey)) {
			return Mono.error(RefusalException.malformed("the key may occur only in the header Authorization"));
		}
		exchange.authenticated(presentedKey, key, workspace);
		return Mono.empty();
	}

	private static boolean isKeyOutsideAuthorization(Exchange exchange, String presentedKey) {
		if (exchange.request().uri().contains(presentedKey)) {
			return true;
		}
		for (Map.Entry<String, String> field : exchange.request().requestHeaders()) {
			if (field.getValue().contains(presentedKey)) {
				return true;
			}
		}
		return false;
	}

	private static Mono<Void> refuse(RefusalReason reason, String detail) {
		return Mono.error(new RefusalException(Refusal.notRun(reason, detail, 0)));
	}

}
