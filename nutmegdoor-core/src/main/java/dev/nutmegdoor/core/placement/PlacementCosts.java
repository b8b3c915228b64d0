package dev.nutmegdoor.core.placement;

/**
 * Cost model of a replica as placement assumes it.
 *
 * @param stepBaseMs time of an engine's step without calls in milliseconds
 * @param stepPerCallMs additional time of a step for each running call in milliseconds
 * @param prefillPerTokenMs time to prefill a token in milliseconds
 * @param copyFixedMs fixed time to copy a cached prefix in milliseconds
 * @param copyPerTokenMs time to copy a cached token in milliseconds
 * @param interference share of a prefill's time charged for each running call that it
 * delays
 * @param slack calls sent to a replica beyond those that it runs at once
 * @param reservedSlots calls beyond a replica's places up to which an instance with less
 * than its equal part of them may still send one
 * @param tieBreakMs greatest random addition to a score, which keeps instances with the
 * same view from choosing the same replica, in milliseconds
 */
public record PlacementCosts(double stepBaseMs, double stepPerCallMs, double prefillPerTokenMs, double copyFixedMs,
		double copyPerTokenMs, double interference, int slack, int reservedSlots, double tieBreakMs) {

	/** Costs of a large engine; the step is dominated by reading the weights. */
	public static final PlacementCosts DEFAULT = new PlacementCosts(24, 0.15, 0.03, 30, 0.02, 0.1, 1, 1, 40);

}
