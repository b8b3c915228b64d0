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

	private static final double SMOOTHING_FACTOR = 0.2;

	private static final long BASE_EJECTION_MS = 5_000;

	private static final long MAX_EJECTION_MS = 60_000;

	private static final double MAX_EJECTED_SHARE = 0.34;

	private final Map<UpstreamId, Health> healthByReplica = new HashMap<>();

	// Records a successful call. actualMs: time that the answer took. expectedMs: time
	// that it was expected to take. poolSize: number of replicas that can run the same
	// calls.
	void recordAnswer(UpstreamId replica, double actualMs, double expectedMs, int poolSize, long nowMs) {
		Health health = healthOf(replica);
		health.consecutiveFailures = 0;
		double ratio = Math.min(20, actualMs / Math.max(1, expectedMs));
		health.slowFactor += SMOOTHING_FACTOR * (ratio - health.slowFactor);
		if (health.slowFactor > EJECTION_SLOW_FACTOR) {
			eject(health, poolSize, nowMs);
		}
		else {
			health.consecutiveEjections = 0;
		}
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

	// Returns the smoothed ratio of the observed to the expected time, at least 1.
	double slowFactor(UpstreamId replica) {
		Health health = this.healthByReplica.get(replica);
		return (health != null) ? Math.max(1, health.slowFactor) : 1;
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
		health.slowFactor = 1;
	}

	private static final class Health {

		private double slowFactor = 1;

		private int consecutiveFailures;

		private int consecutiveEjections;

		private long ejectedUntilMs = Long.MIN_VALUE;

	}

}
