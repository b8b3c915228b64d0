package dev.nutmegdoor.core.placement;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;

/**
 * Learns how long work takes in pools whose replicas state it in their responses. For
 * other pools it does nothing. Not thread-safe, except for the counters.
 */
public final class WorkTimes {

	/** Weight of the newest answer in the pool's mean, once many are known. */
	private static final double POOL_SMOOTHING_FACTOR = 0.02;

	/**
	 * Limits the deviation of an answer from the pool's mean, so that a faulty replica
	 * does not make its slowness usual. The speeds of machines deviate by this much.
	 */
	private static final double MAX_DEVIATION = 0.5;

	/** Step of the estimated logarithm of the prefill time, once many are known. */
	private static final double PREFILL_STEP = 0.05;

	/** The first estimates move faster: the first step is half of the value. */
	private static final double FIRST_PREFILL_STEP = 0.5;

	/**
	 * Shorter prefills take about as long as a step, so they say little about the time of
	 * a token.
	 */
	private static final int MIN_PREFILL_TOKENS = 256;

	/** Shorter answers say little about the time of a step. */
	private static final double MIN_MODELLED_MS = 10;

	/** Limits the effect of a single answer: ln 8. */
	private static final double MAX_LOG_FACTOR = 2.08;

	/**
	 * Weight of a call without tokens relative to an answer of an engine. The durations
	 * of such calls differ by the call, with a standard deviation of about 1 in the
	 * logarithm, those of an engine's steps by 0.3.
	 */
	private static final double CALL_WEIGHT = 1.0 / 9;

	/** Ratio of the stated factor above which a replica counts as slow in metrics. */
	private static final double SLOW_FACTOR = 1.5;

	private static final double PERCENT = 100;

	private final Map<String, Pool> pools = new HashMap<>();

	private final EventLog events;

	private volatile long statements;

	private volatile long slowStatements;

	private volatile long samples;

	WorkTimes(EventLog events) {
		this.events = events;
	}

	/**
	 * Returns how many responses have stated how long work takes.
	 * @return count since the start
	 */
	public long statements() {
		return this.statements;
	}

	/**
	 * Returns how many responses have stated a slow moment.
	 * @return count since the start
	 */
	public long slowStatements() {
		return this.slowStatements;
	}

	/**
	 * Returns from how many answers of this instance the speed of replicas was learned.
	 * @return count since the start
	 */
	public long samples() {
		return this.samples;
	}

	@SuppressWarnings("NonAtomicVolatileUpdate") // written by the control thread only
	void stated(ReplicaState replica, @Nullable Integer workPercent, long nowMs) {
		ReplicaWorkTime workTime = replica.workTime();
		boolean wasStated = workTime.isStated();
		workTime.stated(workPercent, nowMs);
		if (workPercent != null) {
			this.statements++;
			this.slowStatements += (workPercent > SLOW_FACTOR * PERCENT) ? 1 : 0;
		}
		if (workTime.isStated() != wasStated) {
			this.events.record(wasStated ? "replica.work-time-ended" : "replica.work-time-stated", "replica",
					replica.upstream().id(), "percent", String.valueOf(workPercent));
		}
	}

	/**
	 * Learns the speed of a replica from an answer.
	 * @param pool name of the pool
	 * @param replica replica that states how long work takes
	 * @param actualMs duration of the answer in milliseconds
	 * @param modelledMs its duration in the cost model in milliseconds
	 * @param isCall whether the answer is that of a call without tokens
	 * @param nowMs current time in milliseconds
	 * @return what was learned, or {@code null} if the answer says too little
	 */
	@SuppressWarnings("NonAtomicVolatileUpdate") // written by the control thread only
	@Nullable DurationSample answered(String pool, ReplicaState replica, double actualMs, double modelledMs, boolean isCall,
			long nowMs) {
		if (modelledMs < MIN_MODELLED_MS || actualMs <= 0) {
			return null;
		}
		double momentaryFactor = replica.workTime()
			.at(0, nowMs - Math.round(isCall ? 0 : actualMs))
			.momentaryFactorOver(actualMs);
		double logFactor = Math.log(actualMs / (modelledMs * momentaryFactor));
		DurationSample sample = new DurationSample(Math.max(-MAX_LOG_FACTOR, Math.min(MAX_LOG_FACTOR, logFactor)),
				isCall ? CALL_WEIGHT : 1);
		this.samples++;
		apply(pool, replica, sample, nowMs);
		return sample;
	}

	void apply(String poolName, ReplicaState replica, DurationSample sample, long nowMs) {
		Pool pool = poolOf(poolName);
		pool.weight += sample.weight();
		double smoothingFactor = Math.min(1, sample.weight() * Math.max(POOL_SMOOTHING_FACTOR, 1 / (1 + pool.weight)));
		double deviation = sample.logFactor() - pool.logFactor;
		pool.logFactor += smoothingFactor * Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, deviation));
		replica.workTime().add(sample, nowMs);
	}

	/**
	 * Learns the time of a prefill from the time to the first output.
	 * @param poolName name of the pool
	 * @param replica replica that states how long work takes
	 * @param prefillMs time to the first output without that of a step in milliseconds
	 * @param tokens number of tokens that were not expected to be cached
	 * @param modelledMs time of their prefill in the cost model in milliseconds
	 * @param nowMs current time in milliseconds
	 */
	void outputStarted(String poolName, ReplicaState replica, double prefillMs, int tokens, double modelledMs,
			long nowMs) {
		if (tokens < MIN_PREFILL_TOKENS) {
			return;
		}
		Pool pool = poolOf(poolName);
		double observedFactor = Math.max(0, prefillMs)
				/ (modelledMs * replica.workTime().at(pool.logFactor, nowMs).factorOver(0));
		// Follows the median. A prompt that is cached after all, or waits behind others,
		// moves it no further than any other.
		double step = Math.max(PREFILL_STEP, FIRST_PREFILL_STEP / (1 + pool.prefills));
		pool.prefills++;
		double logFactor = pool.logPrefillFactor + step * Math.signum(observedFactor - Math.exp(pool.logPrefillFactor));
		pool.logPrefillFactor = Math.max(-MAX_LOG_FACTOR, Math.min(MAX_LOG_FACTOR, logFactor));
	}

	WorkTime of(String pool, ReplicaState replica, long nowMs) {
		return replica.workTime().at(poolOf(pool).logFactor, nowMs);
	}

	double toleratedFactor(String pool, ReplicaState replica, long nowMs) {
		return replica.workTime().toleratedFactor(poolOf(pool).logFactor, nowMs);
	}

	PoolTimes ofPool(String pool, double callMs) {
		return new PoolTimes(Math.exp(poolOf(pool).logPrefillFactor), callMs);
	}

	String dump() {
		StringBuilder text = new StringBuilder("workTimeStatements=" + this.statements + " slowStatements="
				+ this.slowStatements + " speedSamples=" + this.samples);
		this.pools.forEach((name, pool) -> text.append(" speed.")
			.append(name)
			.append('=')
			.append(percent(pool.logFactor))
			.append("% prefill.")
			.append(name)
			.append('=')
			.append(percent(pool.logPrefillFactor))
			.append('%'));
		return text.toString();
	}

	private static long percent(double logFactor) {
		return Math.round(Math.exp(logFactor) * PERCENT);
	}

	private Pool poolOf(String name) {
		return this.pools.computeIfAbsent(name, (key) -> new Pool());
	}

	private static final class Pool {

		private double logFactor;

		private double weight;

		private double logPrefillFactor;

		private int prefills;

	}

}
