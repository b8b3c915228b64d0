package dev.nutmegdoor.core.placement;

import java.util.List;

/**
 * Load of a replica as the replica itself has measured it.
 *
 * @param sequence sequence number, increased with each measurement of a replica
 * @param ageMs time between measurement and response in milliseconds
 * @param runningCalls number of calls that the replica is running
 * @param waitingCalls number of calls that are queued at the replica
 * @param prefillTokens number of prompt tokens of these calls that are not prefilled yet
 * @param usedCacheTokens number of tokens in cache memory, including running calls
 * @param cacheCapacityTokens number of tokens that fit into cache memory
 * @param models names of the models that the replica has loaded
 */
public record LoadReport(long sequence, long ageMs, int runningCalls, int waitingCalls, long prefillTokens,
		long usedCacheTokens, long cacheCapacityTokens, List<String> models) {

	public LoadReport {
		models = List.copyOf(models);
	}

	/**
	 * Creates a report from the load that a replica has included in a response. Such a
	 * report does not limit the cache memory and contains no models.
	 * @param nowMs current time in milliseconds, used as the sequence number
	 * @param runningCalls number of calls that the replica is running
	 * @param waitingCalls number of calls that are queued at the replica
	 * @return a report with age 0
	 */
	public static LoadReport ofAnswer(long nowMs, int runningCalls, int waitingCalls) {
		return new LoadReport(nowMs, 0, runningCalls, waitingCalls, 0, 0, Long.MAX_VALUE / 4, List.of());
	}

}
