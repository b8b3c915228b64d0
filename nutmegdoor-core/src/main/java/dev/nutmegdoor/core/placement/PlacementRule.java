package dev.nutmegdoor.core.placement;

/**
 * Rules of {@link Placement}.
 */
public enum PlacementRule {

	/** The replica with the lowest expected cost has a free slot. */
	LOWEST_COST,

	/**
	 * Waiting for the replica with the lowest expected cost is cheaper than using any
	 * replica with a free slot.
	 */
	WAIT_FOR_LOWEST_COST,

	/**
	 * No healthy replica serves the pool, or each of them has had as many calls as the
	 * rate allows that it has declared.
	 */
	NO_REPLICA

}
