package dev.nutmegdoor.core.placement;

/**
 * Settings for the orders to engines.
 *
 * @param raiseAbove utilisation above which a model gets another replica
 * @param lowerBelow utilisation below which a model may lose a replica; far below
 * {@code raiseAbove}, so that replicas do not oscillate between models
 * @param minSinceChangeMs minimum time between two orders for the same model in
 * milliseconds
 * @param minGapMs minimum time between two orders of this instance in milliseconds; keeps
 * the load of the fleet on the weight store within its rate
 * @param leaseTtlMs lease term in milliseconds, counted from the write to the store
 * @param clockMarginMs maximum divergence of the clocks of two instances during a lease
 * in milliseconds
 * @param orderTimeoutMs time after sending in milliseconds within which an order may
 * still take effect
 */
public record EngineOrderSettings(double raiseAbove, double lowerBelow, long minSinceChangeMs, long minGapMs,
		long leaseTtlMs, long clockMarginMs, long orderTimeoutMs) {

	/** Loading a model takes about 20 s, which is less than the lease term. */
	public static final EngineOrderSettings DEFAULT = new EngineOrderSettings(0.85, 0.35, 120_000, 30_000, 60_000,
			1_000, 40_000);

}
