package dev.nutmegdoor.node.relay;

import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.schedule.ScheduleSettings;

/**
 * Figures of an entry instance on the platform.
 */
final class GatewaySettings {

	/**
	 * Costs of the users' engines by their sheet: a step of 3.41 ms and 0.097 ms for each
	 * running request, 112 prompt tokens read in a millisecond, during which the running
	 * requests wait, each of them for the whole time. Prefixes are not copied. Twelve
	 * requests beyond a replica's places may wait there: replicas queue more than that,
	 * and what this instance knows of their load is older than their queue.
	 */
	static final PlacementCosts COSTS = new PlacementCosts(3.41, 0.097, 1 / 112.0, 1e6, 1, 1, 12, 1, 2);

	/**
	 * Queueing of relayed requests: a service call takes about 150 ms of a place, and a
	 * request is not sent a second time by a hedge. No program is begun while each
	 * replica has as many requests as it runs at once.
	 */
	static final ScheduleSettings SCHEDULE = new ScheduleSettings(2_000, 16, 200, 0, 0, 150, 3_000, 3, 0.2, 3_600_000,
			5, 1.0);

	/**
	 * Time after the signal to stop during which new connections are still accepted in
	 * milliseconds: the platform asks each second and needs two answers to notice.
	 */
	static final long DRAIN_NOTICE_MS = 2_800;

	/** Time left for the end of the process itself in milliseconds. */
	static final long GRACE_MARGIN_MS = 500;

	private GatewaySettings() {
	}

}
