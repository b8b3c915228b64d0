package dev.nutmegdoor.core.fake;

/**
 * Faults of the simulated store.
 *
 * @param delayMs delay to and from the store in milliseconds, each way
 * @param jitterMs largest additional random delay in milliseconds, each way
 * @param lostAnswerProbability probability that a change takes effect and its answer is
 * lost, 0 to 1
 * @param callsPerSecond calls accepted in a second; the rest is refused as rate limited
 */
public record StoreFaults(long delayMs, long jitterMs, double lostAnswerProbability, int callsPerSecond) {

	/** A store without faults. */
	public static final StoreFaults NONE = new StoreFaults(1, 0, 0, Integer.MAX_VALUE);

}
