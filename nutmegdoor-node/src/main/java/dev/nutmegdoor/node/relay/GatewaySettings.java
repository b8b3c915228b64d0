package dev.nutmegdoor.node.relay;

import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.schedule.ScheduleSettings;

/**
 * Constants of an entry instance on the platform.
 */
final class GatewaySettings {

	/**
	 * Costs of the users' engines by their sheet: a step takes 3.41 ms plus 0.097 ms for
	 * each running request; 112 prompt tokens are read in a millisecond, and each running
	 * request waits for that entire time. Prefixes are not copied. Up to twelve requests
	 * beyond the concurrency limit of a replica may queue there: replicas accept longer
	 * queues, and the load information of this instance lags behind their queues.
	 */
	static final PlacementCosts COSTS = new PlacementCosts(3.41, 0.097, 1 / 112.0, 1e6, 1, 1, 12, 1, 2);

	/**
	 * Queueing of relayed requests: a service call occupies a slot for about 150 ms, and
	 * requests are not hedged. No program is started while each replica has as many
	 * requests as it can run concurrently.
	 */
	static final ScheduleSettings SCHEDULE = new ScheduleSettings(2_000, 16, 200, 0, 0, 150, 3_000, 3, 0.2, 3_600_000,
			5, 1.0);

	/**
	 * Time after the stop signal during which new connections are still accepted in
	 * milliseconds. The platform checks readiness every second and needs two responses to
	 * detect that the instance is not ready.
	 */
	static final long DRAIN_NOTICE_MS = 2_800;

	/** Time reserved for the exit of the process in milliseconds. */
	static final long GRACE_MARGIN_MS = 500;

	/**
	 * Time before the exit in milliseconds in which interrupted requests are answered.
	 */
	static final long ANSWER_MARGIN_MS = 250;

	private GatewaySettings() {
	}

}
