package dev.nutmegdoor.core.placement;

/**
 * Settings of orders to engines.
 *
 * @param raiseAbove utilisation above which a model gets another replica
 * @param lowerBelow utilisation below which a model gives one up; far below
 * {@code raiseAbove}, so that replicas don't move back and forth
 * @param minSinceChangeMs shortest time between two orders for a model
 * @param minGapMs shortest time between two orders of this instance; keeps the fleet
 * within the rate of the weight store
 * @param leaseTtlMs time that a written lease holds
 * @param clockMarginMs bound of the difference between clock rates over a lease
 * @param orderTimeoutMs longest time that an order may take effect after it was sent
 */
public record EngineOrderSettings(double raiseAbove, double lowerBelow, long minSinceChangeMs, long minGapMs,
		long leaseTtlMs, long clockMarginMs, long orderTimeoutMs) {

	/** A model takes about 20 s to load; the lease outlasts that. */
	public static final EngineOrderSettings DEFAULT = new EngineOrderSettings(0.85, 0.35, 120_000, 30_000, 60_000,
			1_000, 40_000);

}
