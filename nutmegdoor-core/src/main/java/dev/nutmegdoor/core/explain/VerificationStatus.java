package dev.nutmegdoor.core.explain;

/**
 * Whether the replay of a decision reproduced the recorded outcome.
 */
public enum VerificationStatus {

	/** The decision function returns the recorded outcome. */
	AGREES,

	/** The decision function returns another outcome, or the record is damaged. */
	DIFFERS,

	/**
	 * The record has no decision function, because it states a fact such as the response
	 * of an upstream.
	 */
	NOT_REPLAYABLE

}
