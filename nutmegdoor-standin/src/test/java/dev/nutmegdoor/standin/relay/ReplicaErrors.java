package dev.nutmegdoor.standin.relay;

/**
 * Answers of a replica other than successes.
 */
enum ReplicaErrors {

	/** Refusals with status 503 that state so, and failures with status 500. */
	PLAIN,

	/** Refusals with status 421, and failures with status 500. */
	MISDIRECTED,

	/**
	 * Plain ones, status 429 and 421, and status 503 and 429 that don't state whether the
	 * request ran.
	 */
	ALL

}
