package dev.nutmegdoor.core.explain;

/**
 * Whether this instance has records of a decision.
 */
public enum ExplanationStatus {

	/** This instance has records of the decision. */
	FOUND,

	/**
	 * This instance issued the identifier, but its records were discarded to limit
	 * memory.
	 */
	DROPPED,

	/**
	 * This instance did not issue the identifier, or its records are not visible to the
	 * client.
	 */
	UNKNOWN

}
