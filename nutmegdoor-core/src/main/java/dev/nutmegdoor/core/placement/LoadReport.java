package dev.nutmegdoor.core.placement;

import java.util.List;

/**
 * Load of a model engine as the engine measured it some time ago.
 *
 * @param sequence rises with each measurement of an engine
 * @param ageMs time between measurement and answer in milliseconds
 * @param runningCalls calls in the batch
 * @param waitingCalls calls that wait for a place in the batch
 * @param prefillTokens prompt tokens of these calls that still have to be prefilled
 * @param usedCacheTokens tokens that occupy cache memory, running calls included
 * @param cacheCapacityTokens tokens that fit into cache memory
 * @param models models that the engine has loaded
 */
public record LoadReport(long sequence, long ageMs, int runningCalls, int waitingCalls, long prefillTokens,
		long usedCacheTokens, long cacheCapacityTokens, List<String> models) {

	public LoadReport {
		models = List.copyOf(models);
	}

	/**
	 * Creates a report from the load that a replica states with an answer. It says
	 * nothing about cache memory.
	 * @param nowMs present time in milliseconds, which orders the reports
	 * @param runningCalls calls that the replica runs
	 * @param waitingCalls calls that wait at the replica
	 * @return the report
	 */
	public static LoadReport ofAnswer(long nowMs, int runningCalls, int waitingCalls) {
		return new LoadReport(nowMs, 0, runningCalls, waitingCalls, 0, 0, Long.MAX_VALUE / 4, List.of());
	}

}
