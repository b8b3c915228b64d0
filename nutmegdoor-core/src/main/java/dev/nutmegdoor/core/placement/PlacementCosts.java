package dev.nutmegdoor.core.placement;

/**
 * Cost model of a replica.
 *
 * @param stepBaseMs duration of an engine step without calls in milliseconds
 * @param stepPerCallMs additional duration of a step for each running call in
 * milliseconds
 * @param prefillPerTokenMs time to prefill a token in milliseconds
 * @param copyFixedMs fixed time to copy a cached prefix in milliseconds
 * @param copyPerTokenMs additional time to copy each cached token in milliseconds
 * @param interference fraction of the duration of a prefill that is charged for each
 * running call delayed by it
 * @param slack number of calls that may be sent to a replica beyond its slots
 * @param reservedSlots number of calls beyond the slots of a replica up to which an
 * instance may still send one call if it uses less than its fair share
 * @param tieBreakMs maximum random addition to a score in milliseconds; keeps instances
 * with the same data from choosing the same replica
 */
public record PlacementCosts(double stepBaseMs, double stepPerCallMs, double prefillPerTokenMs, double copyFixedMs,
		double copyPerTokenMs, double interference, int slack, int reservedSlots, double tieBreakMs) {

	/**
	 * Costs of a large engine, whose step duration is dominated by reading the weights.
	 */
	public static final PlacementCosts DEFAULT = new PlacementCosts(24, 0.15, 0.03, 30, 0.02, 0.1, 1, 1, 40);

}
