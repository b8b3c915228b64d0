package dev.nutmegdoor.core.program;

/**
 * Result of {@link AtMostOnceRule}.
 */
public enum AtMostOnceDecision {

	/** The operation has not run: record the intent and send it. */
	SEND,

	/** The operation is in progress; the caller receives its response. */
	ATTACH,

	/** The recorded response is returned again. */
	STORED,

	/**
	 * The outcome is unknown until a query after a takeover or an operator resolves it.
	 */
	REFUSE_UNKNOWN,

	/** The key was used for another request before. */
	REFUSE_REUSED,

	/** The key is older than the retention time of keys. */
	REFUSE_EXPIRED,

	/** The timestamp of the key is in the future, so the key could outlive its record. */
	REFUSE_MALFORMED

}
