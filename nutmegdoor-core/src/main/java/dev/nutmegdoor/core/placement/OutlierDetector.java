package dev.nutmegdoor.core.placement;

import java.util.HashMap;
import java.util.Map;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Ejects replicas whose answers fail or are far slower than expected, never more than a
 * bounded share of a pool at a time.
 */
final class OutlierDetector {

	private static final int MAX_CONSECUTIVE_FAILURES = 3;

	/** Healthy engines vary by less than half; three times slower is a fault. */
	private static final double EJECTING_SLOW_FACTOR = 3;

	private static final double SMOOTHING = 0.2;

	private static final long FIRST_EJECTION_MS = 5_000;

	private static final long LONGEST_EJECTION_MS = 60_000;

	private static final double MAX_EJECTED_SHARE = 0.34;

	private final Map<UpstreamId, Health> byReplica = new HashMap<>();

	// Notes an answer. actualMs: time that the answer took. expectedMs: time that it was
	// expected to take. poolSize: replicas that can take the calls of this one.
	void answered(UpstreamId replica, double actualMs, double expectedMs, int poolSize, long nowMs) {
		Health health = health(replica);
		health.consecutiveFailures = 0;
		double ratio = Math.min(20, actualMs / Math.max(1, expectedMs));
		health.slowFactor += SMOOTHING * (ratio - health.slowFactor);
		if (health.slowFactor > EJECTING_SLOW_FACTOR) {
			eject(health, poolSize, nowMs);
		}
		else {
			health.ejections = 0;
		}
	}

	void failed(UpstreamId replica, int poolSize, long nowMs) {
		Health health = health(replica);
		health.consecutiveFailures++;
		if (health.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
			eject(health, poolSize, nowMs);
		}
	}

	boolean isEjected(UpstreamId replica, long nowMs) {
		Health health = this.byReplica.get(replica);
		return health != null && health.ejectedUntilMs > nowMs;
	}

	// Returns how much slower than expected a replica answers, at least 1.
	double slowFactor(UpstreamId replica) {
		Health health = this.byReplica.get(replica);
		return (health != null) ? Math.max(1, health.slowFactor) : 1;
	}

	long ejectedReplicas(long nowMs) {
		return this.byReplica.values().stream().filter((health) -> health.ejectedUntilMs > nowMs).count();
	}

	void forget(UpstreamId replica) {
		this.byReplica.remove(replica);
	}

	private Health health(UpstreamId replica) {
		return this.byReplica.computeIfAbsent(replica, (id) -> new Health());
	}

	private void eject(Health health, int poolSize, long nowMs) {
		if (health.ejectedUntilMs > nowMs || ejectedReplicas(nowMs) + 1 > Math.max(1, poolSize * MAX_EJECTED_SHARE)) {
			return;
		}
		long spanMs = Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS << Math.min(4, health.ejections));
		health.ejections++;
		health.ejectedUntilMs = nowMs + spanMs;
		health.consecutiveFailures = MAX_CONSECUTIVE_FAILURES - 1;
		health.slowFactor = 1;
	}

	private static final class Health {

		private double slowFactor = 1;

		private int consecutiveFailures;

		private int ejections;

		private long ejectedUntilMs = Long.MIN_VALUE;

	}

}
