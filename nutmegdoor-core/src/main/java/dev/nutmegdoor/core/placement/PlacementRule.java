package dev.nutmegdoor.core.placement;

/**
 * Rules that decide a placement.
 */
public enum PlacementRule {

	/** The replica with the lowest expected cost has a place. */
	LOWEST_COST,

	/**
	 * Waiting for the replica with the lowest expected cost beats all that have a place.
	 */
	WAIT_FOR_LOWEST_COST,

	/** No healthy replica serves the pool. */
	NO_REPLICA

}
