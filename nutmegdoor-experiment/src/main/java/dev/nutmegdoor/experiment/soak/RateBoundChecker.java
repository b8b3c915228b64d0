package dev.nutmegdoor.experiment.soak;

/**
 * Checks that the admissions of a workspace on all instances stay within rate and burst
 * in every interval: they do if a single full bucket could have admitted them all.
 */
final class RateBoundChecker {

	private static final double ROUNDING = 1e-6;

	private double tokens = SimConfiguration.BURST;

	private long lastMs;

	RateBoundChecker(long nowMs) {
		this.lastMs = nowMs;
	}

	boolean take(long nowMs) {
		double earned = (nowMs - this.lastMs) * SimConfiguration.RATE_PER_SECOND / 1_000.0;
		this.tokens = Math.min(SimConfiguration.BURST, this.tokens + earned) - 1;
		this.lastMs = nowMs;
		return this.tokens >= -ROUNDING;
	}

}
