package dev.nutmegdoor.core.explain;

/**
 * Whether a recorded decision could be reproduced.
 */
public enum VerificationStatus {

	/** The decision function gives the recorded outcome. */
	AGREES,

	/** The decision function gives another outcome, or the record is damaged. */
	DIFFERS,

	/** The record states a fact, such as an upstream's answer, and no decision. */
	NOT_REPLAYABLE

}
