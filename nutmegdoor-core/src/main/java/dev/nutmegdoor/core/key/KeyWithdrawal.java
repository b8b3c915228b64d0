package dev.nutmegdoor.core.key;

import dev.nutmegdoor.core.id.KeyId;

/**
 * Withdrawal of a key. It is permanent; a caller needs a new key instead.
 *
 * @param key identifier of the key
 * @param author operator that withdrew the key, truncated to 80 characters
 * @param reason free text of the operator, truncated to 80 characters
 * @param timeMs wall-clock time in milliseconds since the Unix epoch
 */
public record KeyWithdrawal(KeyId key, String author, String reason, long timeMs) {

	/** Limits texts so that 10,000 withdrawals fit into a frame of 4 MB. */
	private static final int MAX_TEXT_CHARS = 80;

	public KeyWithdrawal {
		author = truncate(author);
		reason = truncate(reason);
	}

	private static String truncate(String text) {
		return (text.length() <= MAX_TEXT_CHARS) ? text : text.substring(0, MAX_TEXT_CHARS);
	}

}
