package dev.nutmegdoor.node.settings;

/**
 * Bounds on what one request may take up.
 *
 * @param maxBodyBytes largest request body
 * @param maxHeaderBytes largest sum of the request's header fields
 * @param maxStreamBytes largest answer
 * @param maxBufferedAnswerBytes largest part of an answer that waits for a slow reader
 * before the call is ended
 * @param maxConnections connections that the server holds at once
 */
public record LimitSettings(int maxBodyBytes, int maxHeaderBytes, int maxStreamBytes, int maxBufferedAnswerBytes,
		int maxConnections) {

	/**
	 * A history of 110,000 tokens is about 500 KB of text; 2 MiB leaves room for JSON.
	 */
	private static final long DEFAULT_BODY_BYTES = 2L << 20;

	private static final long MAX_BYTES = 64L << 20;

	public static LimitSettings read(SettingsSection section) {
		return new LimitSettings((int) section.integer("maxBodyBytes", 1024, MAX_BYTES, DEFAULT_BODY_BYTES),
				(int) section.integer("maxHeaderBytes", 1024, 1 << 20, 16L << 10),
				(int) section.integer("maxStreamBytes", 1024, MAX_BYTES, 4L << 20),
				(int) section.integer("maxBufferedAnswerBytes", 1024, MAX_BYTES, 1L << 20),
				(int) section.integer("maxConnections", 1, 1_000_000, 20_000L));
	}

}
