package dev.nutmegdoor.core.schedule;

/**
 * Settings of queueing and dispatch.
 *
 * @param maxQueuedPerWorkspace maximum number of calls of a workspace in the queue of one
 * pool
 * @param lookahead maximum number of queued calls to try for each dispatch; calls whose
 * best replica has no capacity are skipped, which limits head-of-line blocking
 * @param priorityStepMs waiting time in milliseconds that offsets one step of priority
 * @param receivedWeight waiting time in milliseconds that offsets one millisecond of
 * service time received by the program
 * @param elapsedWeight fraction of the time since the program was opened that is counted
 * as waiting time
 * @param serviceCallCostMs service time in milliseconds charged for a call of a plain
 * service
 * @param firstOutputTimeoutMs maximum wait for the first output of an engine beyond the
 * expected time, and for each output after it, in milliseconds
 * @param maxAttempts maximum number of attempts of a retryable call
 * @param retryShare number of retries allowed for each successful call, as a fraction
 * @param hedgeAfterMs time in milliseconds after which a repeatable service call is also
 * sent to a second replica
 * @param firstDispatchGapMs time in milliseconds between two dispatches of a backlogged
 * workspace that is assumed before the first measurement
 * @param maxOpeningLoad load of the least loaded replica, as calls in flight divided by
 * its capacity, above which calls that open a program are rejected
 */
public record ScheduleSettings(int maxQueuedPerWorkspace, int lookahead, long priorityStepMs, double receivedWeight,
		double elapsedWeight, double serviceCallCostMs, long firstOutputTimeoutMs, int maxAttempts, double retryShare,
		long hedgeAfterMs, double firstDispatchGapMs, double maxOpeningLoad) {

	/**
	 * Default settings. They favour the oldest programs, which keeps fewer programs in
	 * progress at a time, so that their prefixes fit into cache memory.
	 */
	public static final ScheduleSettings DEFAULT = new ScheduleSettings(400, 8, 5_000, 0.1, 1, 20, 10_000, 3, 0.1,
			1_000, 100, Double.MAX_VALUE);

}
