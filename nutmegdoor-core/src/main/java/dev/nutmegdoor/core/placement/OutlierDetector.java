package dev.nutmegdoor.core.placement;

import java.util.HashMap;
import java.util.Map;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Ejects replicas whose calls fail or take much longer than expected. At most a fixed
 * fraction of a pool is ejected at the same time. Not thread-safe.
 */
final class OutlierDetector {

	private static final int MAX_CONSECUTIVE_FAILURES = 3;

	/**
	 * The response times of healthy engines vary by less than half, so a factor of three
	 * indicates a fault.
	 */
	private static final double EJECTION_SLOW_FACTOR = 3;

	/**
	 * Number of answers from which a replica is judged. A single short answer takes many
	 * times as long as expected if the engine reads a long prompt meanwhile.
	 */
	private static final int MIN_ANSWERS = 3;

	private static final double SMOOTHING_FACTOR = 0.2;

	private static final long BASE_EJECTION_MS = 5_000;

	private static final long MAX_EJECTION_MS = 60_000;

	private static final double MAX_EJECTED_SHARE = 0.34;

	private final Map<UpstreamId, Health> healthByReplica = new HashMap<>();

	private final Map<String, Double> usualRatios = new HashMap<>();

	/**
	 * Records a successful call.
	 * @param replica replica that answered
	 * @param pool pool of the replica, whose other replicas it is compared with
	 * @param actualMs time that the answer took in milliseconds
	 * @param expectedMs time that it was expected to take in milliseconds
	 * @param poolSize number of replicas that can run the same calls
	 * @param nowMs current time in milliseconds
	 */
	void recordAnswer(UpstreamId replica, String pool, double actualMs, double expectedMs, int poolSize, long nowMs) {
		Health health = healthOf(replica);
		health.consecutiveFailures = 0;
		health.pool = pool;
		double ratio = Math.min(20, actualMs / Math.max(1, expectedMs));
		health.smoothedRatio += SMOOTHING_FACTOR * (ratio - health.smoothedRatio);
		health.answers++;
		double usualRatio = usualRatio(pool);
		this.usualRatios.put(pool, usualRatio);
		health.consecutiveSlowAnswers = (ratio > EJECTION_SLOW_FACTOR * usualRatio) ? health.consecutiveSlowAnswers + 1
				: 0;
		if (slowFactor(replica) > EJECTION_SLOW_FACTOR && health.consecutiveSlowAnswers >= MIN_ANSWERS) {
			eject(health, poolSize, nowMs);
		}
		else {
			health.consecutiveEjections = 0;
		}
	}

	// All replicas of a pool are slower than expected while they read many prompts. Only
	// one that is slower than most others has a fault.
	private double usualRatio(String pool) {
		double[] ratios = this.healthByReplica.values()
			.stream()
			.filter((health) -> health.pool.equals(pool))
			.mapToDouble((health) -> health.smoothedRatio)
			.sorted()
			.toArray();
		return (ratios.length > 0) ? Math.max(1, ratios[(ratios.length - 1) / 2]) : 1;
	}

	void recordFailure(UpstreamId replica, int poolSize, long nowMs) {
		Health health = healthOf(replica);
		health.consecutiveFailures++;
		if (health.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
			eject(health, poolSize, nowMs);
		}
	}

	boolean isEjected(UpstreamId replica, long nowMs) {
		Health health = this.healthByReplica.get(replica);
		return health != null && health.ejectedUntilMs > nowMs;
	}

	// Returns how many times as long the answers of a replica take as those of its pool
	// usually do, at least 1.
	double slowFactor(UpstreamId replica) {
		Health health = this.healthByReplica.get(replica);
		if (health == null || health.answers < MIN_ANSWERS) {
			return 1;
		}
		return Math.max(1, health.smoothedRatio / this.usualRatios.getOrDefault(health.pool, 1.0));
	}

	long ejectedReplicaCount(long nowMs) {
		return this.healthByReplica.values().stream().filter((health) -> health.ejectedUntilMs > nowMs).count();
	}

	void remove(UpstreamId replica) {
		this.healthByReplica.remove(replica);
	}

	private Health healthOf(UpstreamId replica) {
		return this.healthByReplica.computeIfAbsent(replica, (id) -> new Health());
	}

	private void eject(Health health, int poolSize, long nowMs) {
		if (health.ejectedUntilMs > nowMs
				|| ejectedReplicaCount(nowMs) + 1 > Math.max(1, poolSize * MAX_EJECTED_SHARE)) {
			return;
		}
		long ejectionMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS << Math.min(4, health.consecutiveEjections));
		health.consecutiveEjections++;
		health.ejectedUntilMs = nowMs + ejectionMs;
		health.consecutiveFailures = MAX_CONSECUTIVE_FAILURES - 1;
		health.smoothedRatio = this.usualRatios.getOrDefault(health.pool, 1.0);
	}

	private static final class Health {

		private String pool = "";

		private double smoothedRatio = 1;

		private int answers;

		private int consecutiveSlowAnswers;

		private int consecutiveFailures;

		private int consecutiveEjections;

		private long ejectedUntilMs = Long.MIN_VALUE;

	}

}
