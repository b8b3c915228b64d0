package dev.nutmegdoor.core.explain;

/**
 * What is known about a decision identifier.
 */
public enum ExplanationStatus {

	/** Records are kept here. */
	FOUND,

	/** The decision was made here, but its records were dropped to bound memory. */
	DROPPED,

	/** No such decision was made here. */
	UNKNOWN

}
