package dev.nutmegdoor.core.limit;

/**
 * Smoothed number of requests a second.
 */
final class DemandMeter {

	/** Short enough to follow a shift of demand between zones within two seconds. */
	private static final double TIME_CONSTANT_MS = 3000;

	private double perSecond;

	private long updatedMs;

	DemandMeter(long nowMs) {
		this.updatedMs = nowMs;
	}

	void count(long nowMs) {
		decay(nowMs);
		this.perSecond += 1000 / TIME_CONSTANT_MS;
	}

	long milli(long nowMs) {
		decay(nowMs);
		return Math.round(this.perSecond * 1000);
	}

	private void decay(long nowMs) {
		long gapMs = nowMs - this.updatedMs;
		if (gapMs > 0) {
			this.perSecond *= Math.exp(-gapMs / TIME_CONSTANT_MS);
			this.updatedMs = nowMs;
		}
	}

}
