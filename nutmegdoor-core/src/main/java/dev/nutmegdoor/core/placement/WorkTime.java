package dev.nutmegdoor.core.placement;

/**
 * What an instance knows about the time that work takes at a replica that states it.
 *
 * @param speedFactor learned duration of work at the replica, as a multiple of the
 * duration in the cost model
 * @param usualFactor mean of the factors that the replica has stated
 * @param statedFactor duration of work as a multiple of the usual one, as last stated by
 * the replica
 * @param statedAgeMs time since that statement in milliseconds
 */
public record WorkTime(double speedFactor, double usualFactor, double statedFactor, long statedAgeMs) {

	/**
	 * Slow periods last about 600 ms, so half of those that were stated are over after
	 * 300 ms.
	 */
	private static final double HALF_LIFE_MS = 300;

	/** Durations below this have the factor of their start, in milliseconds. */
	private static final double MIN_DURATION_MS = 1;

	/**
	 * Returns the expected mean factor, relative to the cost model, of work that starts
	 * now. A statement counts for less the older it is, also during the work.
	 * @param idleMs duration of the work in the cost model in milliseconds
	 * @return multiple of that duration
	 */
	double factorOver(double idleMs) {
		return this.speedFactor * momentaryFactorOver(idleMs * this.speedFactor);
	}

	/**
	 * Returns the expected mean of the momentary factor.
	 * @param durationMs time from now in milliseconds
	 * @return multiple of the usual duration of work at the replica
	 */
	double momentaryFactorOver(double durationMs) {
		double weight = Math.pow(2, -Math.max(0, this.statedAgeMs) / HALF_LIFE_MS);
		if (durationMs > MIN_DURATION_MS) {
			double halfLives = durationMs / HALF_LIFE_MS;
			weight *= (1 - Math.pow(2, -halfLives)) / (halfLives * Math.log(2));
		}
		return this.usualFactor + (this.statedFactor - this.usualFactor) * weight;
	}

}
