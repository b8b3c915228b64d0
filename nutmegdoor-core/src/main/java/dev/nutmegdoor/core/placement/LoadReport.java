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

}
