package dev.nutmegdoor.core.program;

/**
 * Result of {@link OrderRule}.
 */
public enum OrderDecision {

	/** The call is the next turn and runs immediately. */
	RUN,

	/** The turn is in progress; the caller receives the same stream. */
	ATTACH,

	/** The recorded response of the turn is returned again. */
	STORED,

	/** An earlier turn has not completed; the call waits for it. */
	WAIT,

	/** An earlier turn did not complete within the maximum wait. */
	REFUSE_EARLY,

	/** The turn number was used for another request. */
	REFUSE_REUSED,

	/** The program is closed. */
	REFUSE_CLOSED

}
