package dev.nutmegdoor.core.limit;

/**
 * Measures the request rate as an exponentially weighted average.
 */
final class DemandMeter {

	/** Short enough to follow a shift of demand between zones within two seconds. */
	private static final double TIME_CONSTANT_MS = 3000;

	private double ratePerSecond;

	private long lastUpdateMs;

	DemandMeter(long nowMs) {
		this.lastUpdateMs = nowMs;
	}

	void recordRequest(long nowMs) {
		decay(nowMs);
		this.ratePerSecond += 1000 / TIME_CONSTANT_MS;
	}

	long rateMilli(long nowMs) {
		decay(nowMs);
		return Math.round(this.ratePerSecond * 1000);
	}

	private void decay(long nowMs) {
		long elapsedMs = nowMs - this.lastUpdateMs;
		if (elapsedMs > 0) {
			this.ratePerSecond *= Math.exp(-elapsedMs / TIME_CONSTANT_MS);
			this.lastUpdateMs = nowMs;
		}
	}

}
