package dev.nutmegdoor.core.placement;

import org.jspecify.annotations.Nullable;

/**
 * Learns how long work takes at one replica: the momentary factor from its statements,
 * its own speed from the durations of its answers. Not thread-safe.
 */
final class ReplicaWorkTime {

	/** The speed of a machine does not change, but its load and its work do. */
	private static final double SPEED_HALF_LIFE_MS = 60_000;

	/**
	 * Weight of the speed that is usual in the pool. One answer of an engine has weight
	 * 1: their durations vary about as much as the speeds of machines.
	 */
	private static final double PRIOR_WEIGHT = 1;

	/** Limits the effect of a single statement on the usual factor. */
	private static final double USUAL_SMOOTHING_FACTOR = 0.02;

	/** The machine's own speed is between 0.6 and 1.6 of the usual one. */
	private static final double MAX_TOLERATED_FACTOR = 2;

	/**
	 * Time in milliseconds for which a stated slow period explains slow answers: its own
	 * length and that of an answer that began in it.
	 */
	private static final long SLOW_PERIOD_MS = 1_200;

	private static final double PERCENT = 100;

	private static final int MAX_WORK_PERCENT = 10_000;

	private double usualFactor = 1;

	private double statedFactor = 1;

	private long statedAtMs = Long.MIN_VALUE / 2;

	private boolean isStated;

	private double highestFactor = 1;

	private long highestAtMs = Long.MIN_VALUE / 2;

	private double logFactorSum;

	private double weight;

	private long weightAtMs;

	boolean isStated() {
		return this.isStated;
	}

	// Applies the statement of a response. A replica that states nothing in a response
	// is placed without these times.
	void stated(@Nullable Integer workPercent, long measuredAtMs) {
		if (workPercent == null) {
			this.isStated = this.isStated && measuredAtMs < this.statedAtMs;
			return;
		}
		statedElsewhere(workPercent, measuredAtMs);
	}

	// Applies a statement that another instance received. It is silent if its version
	// does not know such statements.
	void statedElsewhere(@Nullable Integer workPercent, long measuredAtMs) {
		if (workPercent == null || workPercent <= 0 || workPercent > MAX_WORK_PERCENT
				|| measuredAtMs < this.statedAtMs) {
			return;
		}
		this.isStated = true;
		this.statedFactor = workPercent / PERCENT;
		this.statedAtMs = measuredAtMs;
		this.usualFactor += USUAL_SMOOTHING_FACTOR * (this.statedFactor - this.usualFactor);
		if (this.statedFactor >= this.highestFactor || this.highestAtMs < measuredAtMs - SLOW_PERIOD_MS) {
			this.highestFactor = this.statedFactor;
			this.highestAtMs = measuredAtMs;
		}
	}

	void add(DurationSample sample, long nowMs) {
		decay(nowMs);
		this.logFactorSum += sample.logFactor() * sample.weight();
		this.weight += sample.weight();
	}

	WorkTime at(double poolLogFactor, long nowMs) {
		return new WorkTime(speedFactor(poolLogFactor, nowMs), this.usualFactor, this.statedFactor,
				Math.min(Integer.MAX_VALUE, nowMs - this.statedAtMs));
	}

	double speedFactor(double poolLogFactor, long nowMs) {
		decay(nowMs);
		return Math.exp((this.logFactorSum + poolLogFactor * PRIOR_WEIGHT) / (this.weight + PRIOR_WEIGHT));
	}

	// Returns how many times as long as the cost model says an answer may take that ends
	// now without being a sign of a fault.
	double toleratedFactor(double poolLogFactor, long nowMs) {
		double poolFactor = Math.exp(poolLogFactor);
		double speedFactor = Math.max(poolFactor / MAX_TOLERATED_FACTOR,
				Math.min(poolFactor * MAX_TOLERATED_FACTOR, speedFactor(poolLogFactor, nowMs)));
		boolean isSlowPeriod = this.highestAtMs >= nowMs - SLOW_PERIOD_MS;
		return speedFactor * Math.max(1, isSlowPeriod ? this.highestFactor : 1);
	}

	// A restarted replica may run on another machine.
	void reset() {
		this.isStated = false;
		this.usualFactor = 1;
		this.statedFactor = 1;
		this.statedAtMs = Long.MIN_VALUE / 2;
		this.highestAtMs = Long.MIN_VALUE / 2;
		this.weight = 0;
		this.logFactorSum = 0;
	}

	// Samples describe the past, and the weight must not decay twice over the same span.
	private void decay(long nowMs) {
		if (nowMs <= this.weightAtMs) {
			return;
		}
		double factor = Math.pow(2, -(nowMs - this.weightAtMs) / SPEED_HALF_LIFE_MS);
		this.logFactorSum *= factor;
		this.weight *= factor;
		this.weightAtMs = nowMs;
	}

}
