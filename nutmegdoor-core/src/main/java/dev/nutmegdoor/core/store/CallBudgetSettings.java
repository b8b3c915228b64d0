package dev.nutmegdoor.core.store;

/**
 * Limits of the calls that one process makes to the platform.
 *
 * @param callsPerSecond calls in the long run; the platform accepts about 2,000 reads a
 * second for the whole fleet
 * @param burst calls at once after a pause
 * @param maxQueuedCalls calls that may wait for the budget
 * @param deadlineMs longest time that a call waits and is retried in milliseconds
 * @param maxAttempts attempts for one call that had no effect
 * @param backoffBaseMs mean delay before the second attempt in milliseconds
 * @param backoffMaxMs longest delay between two attempts in milliseconds
 * @param breakerFailures failures in a row that open the circuit breaker
 * @param breakerOpenMs shortest time that the breaker stays open in milliseconds
 * @param breakerMaxOpenMs longest time between two probes in milliseconds
 * @param resumeWindowMs mean time after an outage in which the budget returns to its full
 * rate in milliseconds
 */
public record CallBudgetSettings(double callsPerSecond, int burst, int maxQueuedCalls, long deadlineMs, int maxAttempts,
		long backoffBaseMs, long backoffMaxMs, int breakerFailures, long breakerOpenMs, long breakerMaxOpenMs,
		long resumeWindowMs) {

	/**
	 * Budget for 390 instances: 390 × 4 calls stay below the platform's 2,000 a second,
	 * the burst covers a change of all 64 configuration shards, and the breaker's longest
	 * pause is below half of a lease's TTL of 10 s.
	 */
	public static final CallBudgetSettings DEFAULT = new CallBudgetSettings(4, 100, 500, 3_000, 8, 50, 1_000, 5, 500,
			4_000, 5_000);

	public CallBudgetSettings {
		if (!(callsPerSecond > 0)) {
			throw new IllegalArgumentException("callsPerSecond must be positive but is " + callsPerSecond);
		}
		requirePositive("burst", burst);
		requirePositive("maxQueuedCalls", maxQueuedCalls);
		requirePositive("deadlineMs", deadlineMs);
		requirePositive("maxAttempts", maxAttempts);
		requirePositive("backoffBaseMs", backoffBaseMs);
		requirePositive("backoffMaxMs", backoffMaxMs);
		requirePositive("breakerFailures", breakerFailures);
		requirePositive("breakerOpenMs", breakerOpenMs);
		requirePositive("breakerMaxOpenMs", breakerMaxOpenMs);
		requirePositive("resumeWindowMs", resumeWindowMs);
	}

	private static void requirePositive(String name, long value) {
		if (value < 1) {
			throw new IllegalArgumentException(name + " must be positive but is " + value);
		}
	}

}
