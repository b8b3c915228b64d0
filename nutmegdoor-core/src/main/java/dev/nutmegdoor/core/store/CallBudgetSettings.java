package dev.nutmegdoor.core.store;

/**
 * Limits of the calls that one process makes to the platform.
 *
 * @param callsPerSecond sustained rate of calls; the platform accepts about 2,000 reads
 * per second from the entire fleet
 * @param burst maximum number of calls in a burst after an idle period
 * @param maxQueuedCalls maximum number of calls that wait for a token
 * @param deadlineMs maximum time in milliseconds in which a call waits and is retried
 * @param maxAttempts maximum number of attempts of a call whose earlier attempts had no
 * effect
 * @param backoffBaseMs mean delay in milliseconds before the second attempt
 * @param backoffMaxMs maximum delay in milliseconds between two attempts
 * @param breakerFailures consecutive failures that open the circuit breaker
 * @param breakerOpenMs minimum delay in milliseconds before a probe while the breaker is
 * open
 * @param breakerMaxOpenMs maximum delay in milliseconds before a probe
 * @param resumeWindowMs mean time in milliseconds after an outage until the budget is
 * back at its full rate
 */
public record CallBudgetSettings(double callsPerSecond, int burst, int maxQueuedCalls, long deadlineMs, int maxAttempts,
		long backoffBaseMs, long backoffMaxMs, int breakerFailures, long breakerOpenMs, long breakerMaxOpenMs,
		long resumeWindowMs) {

	/**
	 * Budget for 390 instances: 390 × 4 calls per second stay below the platform's limit
	 * of 2,000, the burst covers a change of all 64 configuration shards, and the maximum
	 * delay between probes is less than half of the lease term of 10 s.
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
