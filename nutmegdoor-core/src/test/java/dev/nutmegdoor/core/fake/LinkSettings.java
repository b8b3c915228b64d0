package dev.nutmegdoor.core.fake;

/**
 * Delays and faults of the links between simulated instances.
 *
 * @param zoneDelayMs one-way delay within an availability zone in milliseconds
 * @param crossZoneDelayMs one-way delay between availability zones in milliseconds
 * @param jitterMs maximum additional random delay in milliseconds; messages may be
 * reordered if it is larger than the delay
 * @param lossProbability probability that a message is lost, 0 to 1
 * @param duplicateProbability probability that a message arrives twice, 0 to 1
 */
public record LinkSettings(long zoneDelayMs, long crossZoneDelayMs, long jitterMs, double lossProbability,
		double duplicateProbability) {

	/** Links without faults and with the delays of the smaller deployment. */
	public static final LinkSettings RELIABLE = new LinkSettings(1, 2, 0, 0, 0);

}
