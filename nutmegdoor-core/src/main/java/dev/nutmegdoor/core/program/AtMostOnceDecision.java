package dev.nutmegdoor.core.program;

/**
 * Outcome of the at-most-once rule.
 */
public enum AtMostOnceDecision {

	/** The operation was never sent: record the intent and send it. */
	SEND,

	/** The operation runs now; its caller gets the same answer. */
	ATTACH,

	/** The operation has its answer, which is given again. */
	STORED,

	/** The outcome is unknown and stays so until an operator resolves it. */
	REFUSE_UNKNOWN,

	/** The key came with another payload before. */
	REFUSE_REUSED,

	/** The key is older than the time for which keys are remembered. */
	REFUSE_EXPIRED,

	/** The key carries a time in the future and could outlive its record. */
	REFUSE_MALFORMED

}
