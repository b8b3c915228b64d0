package dev.nutmegdoor.core.fake;

/**
 * Delays and faults of the simulated store.
 *
 * @param delayMs one-way delay to and from the store in milliseconds
 * @param jitterMs maximum additional random one-way delay in milliseconds
 * @param lostAnswerProbability probability that a change takes effect and its response is
 * lost, 0 to 1
 * @param callsPerSecond calls accepted per second; further calls fail with
 * {@code RATE_LIMITED}
 */
public record StoreFaults(long delayMs, long jitterMs, double lostAnswerProbability, int callsPerSecond) {

	/** Store without faults and with a delay of 1 ms each way. */
	public static final StoreFaults NONE = new StoreFaults(1, 0, 0, Integer.MAX_VALUE);

}
