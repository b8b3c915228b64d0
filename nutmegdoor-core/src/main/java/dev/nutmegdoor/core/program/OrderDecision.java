package dev.nutmegdoor.core.program;

/**
 * Outcome of the order rule.
 */
public enum OrderDecision {

	/** The call is the next one and runs now. */
	RUN,

	/** The call is the running one; its caller gets the same stream. */
	ATTACH,

	/** The call has its answer, which is given again. */
	STORED,

	/** A predecessor has not completed; the call waits. */
	WAIT,

	/** The predecessor did not complete in time. */
	REFUSE_EARLY,

	/** The number was used for another request. */
	REFUSE_REUSED,

	/** The program takes no more calls. */
	REFUSE_CLOSED

}
