package dev.nutmegdoor.core.key;

import dev.nutmegdoor.core.id.KeyId;

/**
 * Withdrawal of a key. It is never taken back; a caller gets a new key instead.
 *
 * @param key identifier of the key
 * @param author who withdrew the key
 * @param reason why
 * @param timeMs wall-clock time in milliseconds since the Unix epoch
 */
public record KeyWithdrawal(KeyId key, String author, String reason, long timeMs) {

	/** Keeps 10,000 withdrawals within the 4 MB of a frame. */
	private static final int MAX_TEXT_CHARS = 80;

	public KeyWithdrawal {
		author = truncate(author);
		reason = truncate(reason);
	}

	private static String truncate(String text) {
		return (text.length() <= MAX_TEXT_CHARS) ? text : text.substring(0, MAX_TEXT_CHARS);
	}

}
