package dev.nutmegdoor.experiment.limits;

/**
 * A token bucket with exact arithmetic in floating point, for baselines.
 */
final class ExactBucket {

	/** Rounding of sums must not refuse a whole token. */
	private static final double ROUNDING = 1e-9;

	private double ratePerMs;

	private double capacity;

	private double tokens;

	private long atMs;

	ExactBucket(double ratePerSecond, double capacity, double tokens, long atMs) {
		this.ratePerMs = ratePerSecond / 1000;
		this.capacity = capacity;
		this.tokens = tokens;
		this.atMs = atMs;
	}

	boolean take(long nowMs) {
		refill(nowMs);
		if (this.tokens < 1 - ROUNDING) {
			return false;
		}
		this.tokens--;
		return true;
	}

	/**
	 * Splits off a part of rate, capacity and tokens.
	 * @param fraction part of the bucket, 0 to 1
	 * @param nowMs current time
	 * @return the part, which this bucket loses
	 */
	ExactBucket split(double fraction, long nowMs) {
		refill(nowMs);
		ExactBucket part = new ExactBucket(this.ratePerMs * 1000 * fraction, this.capacity * fraction,
				this.tokens * fraction, nowMs);
		this.ratePerMs *= 1 - fraction;
		this.capacity *= 1 - fraction;
		this.tokens *= 1 - fraction;
		return part;
	}

	void merge(ExactBucket part, long nowMs) {
		refill(nowMs);
		part.refill(nowMs);
		this.ratePerMs += part.ratePerMs;
		this.capacity += part.capacity;
		this.tokens += part.tokens;
	}

	private void refill(long nowMs) {
		this.tokens = Math.min(this.capacity, this.tokens + this.ratePerMs * (nowMs - this.atMs));
		this.atMs = nowMs;
	}

}
