package dev.nutmegdoor.core.schedule;

/**
 * Settings of queueing and dispatch.
 *
 * @param maxQueuedPerWorkspace calls of a workspace that one pool's queue holds at most
 * @param lookahead calls passed over in a pool's queue because their best replica has no
 * place; bounds head-of-line blocking
 * @param priorityStepMs waiting time that outweighs one step of priority
 * @param receivedWeight waiting time that outweighs a millisecond of service received by
 * a program
 * @param elapsedWeight share of a program's time under way that counts as waiting time
 * @param serviceCallCostMs service charged for a call of a plain service
 * @param firstOutputTimeoutMs longest wait for the first output of an engine beyond the
 * expected time
 * @param maxAttempts times a repeatable call is sent at most
 * @param retryShare retries allowed for each successful call
 * @param hedgeAfterMs time after which a repeatable service call is sent a second time
 * @param firstDispatchGapMs time between two calls of a backlogged workspace that is
 * assumed until it has been measured
 * @param maxOpeningLoad load of the least loaded replica, in calls for each place, above
 * which programs are not begun
 */
public record ScheduleSettings(int maxQueuedPerWorkspace, int lookahead, long priorityStepMs, double receivedWeight,
		double elapsedWeight, double serviceCallCostMs, long firstOutputTimeoutMs, int maxAttempts, double retryShare,
		long hedgeAfterMs, double firstDispatchGapMs, double maxOpeningLoad) {

	/**
	 * Settings that the experiment {@code scheduling} measures. The oldest programs go
	 * first: fewer are then under way, and their prefixes fit into cache memory.
	 */
	public static final ScheduleSettings DEFAULT = new ScheduleSettings(400, 8, 5_000, 0.1, 1, 20, 10_000, 3, 0.1,
			1_000, 100, Double.MAX_VALUE);

}
