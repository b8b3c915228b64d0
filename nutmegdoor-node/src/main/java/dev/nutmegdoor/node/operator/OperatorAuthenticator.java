package dev.nutmegdoor.node.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;

import org.jspecify.annotations.Nullable;

/**
 * Authenticates operators by their tokens.
 */
public final class OperatorAuthenticator {

	private static final String SCHEME = "Bearer ";

	private final List<OperatorAccount> accounts;

	public OperatorAuthenticator(List<OperatorAccount> accounts) {
		this.accounts = List.copyOf(accounts);
	}

	/**
	 * Authenticates an operator.
	 * @param authorization value of the {@code Authorization} header
	 * @return the operator, or {@code null} if the token is missing or unknown
	 */
	@Nullable OperatorAccount authenticate(@Nullable String authorization) {
		if (authorization == null || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
			return null;
		}
		byte[] presented = hash(authorization.substring(SCHEME.length()).strip()).getBytes(StandardCharsets.UTF_8);
		OperatorAccount found = null;
		for (OperatorAccount account : this.accounts) {
			byte[] expected = account.tokenHash().toLowerCase(Locale.ROOT).getBytes(StandardCharsets.UTF_8);
			// All accounts are compared, so that the time doesn't tell which one matched.
			if (MessageDigest.isEqual(expected, presented)) {
				found = account;
			}
		}
		return found;
	}

	/**
	 * Hashes a token as the settings store it.
	 * @param token the token
	 * @return SHA-256 in lower-case hexadecimal
	 */
	public static String hash(String token) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
