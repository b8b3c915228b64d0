package dev.nutmegdoor.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;

/**
 * Determines from the calls of this instance whether other availability zones are
 * reachable. A network partition shows as calls to a zone that get no response while
 * other zones respond. Without this detection, each call would lose the time of a
 * connection attempt or of a timeout in the partitioned zone. Not thread-safe.
 */
final class ZoneReachability {

	/** Number of unanswered calls after which a zone is considered unreachable. */
	private static final int UNREACHABLE_AFTER_CALLS = 2;

	/** Time in milliseconds within which these calls must have been recorded. */
	private static final long UNANSWERED_WINDOW_MS = 1_000;

	/**
	 * Time in milliseconds for which a zone is then considered unreachable. Partitions
	 * last for some seconds; afterwards, calls are sent to the zone again, and a single
	 * unanswered one suffices to avoid it once more.
	 */
	private static final long AVOIDANCE_MS = 1_500;

	/**
	 * Minimum period in milliseconds, ending now, in which another zone must have
	 * responded; it also applies to calls that failed sooner. A busy instance receives
	 * several responses in it.
	 */
	private static final long OTHER_ZONE_ANSWER_WINDOW_MS = 400;

	private final AvailabilityZone ownZone;

	private final EventLog events;

	private final Map<AvailabilityZone, ZoneStatus> statusByZone = new HashMap<>();

	ZoneReachability(AvailabilityZone ownZone, EventLog events) {
		this.ownZone = ownZone;
		this.events = events;
	}

	/**
	 * Records a call to which a replica has not responded.
	 * @param zone availability zone of the replica
	 * @param call identity of the call; a call that is recorded repeatedly counts once
	 * @param sinceMs time at which the call was sent in milliseconds
	 * @param nowMs current time in milliseconds
	 */
	void recordNoResponse(AvailabilityZone zone, Object call, long sinceMs, long nowMs) {
		ZoneStatus status = this.statusByZone.computeIfAbsent(zone, (id) -> new ZoneStatus());
		if (zone.equals(this.ownZone) || status.lastAnswerAtMs >= sinceMs
				|| !isOtherZoneAnswering(zone, Math.min(sinceMs, nowMs - OTHER_ZONE_ANSWER_WINDOW_MS))) {
			return;
		}
		if (nowMs - status.windowStartedAtMs > UNANSWERED_WINDOW_MS) {
			status.unansweredCalls.clear();
			status.windowStartedAtMs = nowMs;
		}
		status.unansweredCalls.add(call);
		if (status.isLost || status.unansweredCalls.size() >= UNREACHABLE_AFTER_CALLS) {
			if (!status.isLost) {
				status.isLost = true;
				this.events.record("zone.lost", "zone", zone, "silentCalls", status.unansweredCalls.size(), "oldestMs",
						nowMs - sinceMs);
			}
			status.avoidedUntilMs = nowMs + AVOIDANCE_MS;
		}
	}

	// If no zone responds, this instance itself is slow, or all replicas are overloaded.
	private boolean isOtherZoneAnswering(AvailabilityZone zone, long sinceMs) {
		return this.statusByZone.entrySet()
			.stream()
			.anyMatch((other) -> !other.getKey().equals(zone) && other.getValue().lastAnswerAtMs >= sinceMs);
	}

	/**
	 * Records an answer or the start of one. The zone is reachable from then on.
	 * @param zone availability zone of the replica
	 * @param nowMs current time in milliseconds
	 */
	void recordAnswer(AvailabilityZone zone, long nowMs) {
		ZoneStatus status = this.statusByZone.computeIfAbsent(zone, (id) -> new ZoneStatus());
		status.lastAnswerAtMs = nowMs;
		status.unansweredCalls.clear();
		if (status.isLost) {
			status.isLost = false;
			this.events.record("zone.regained", "zone", zone);
		}
		status.avoidedUntilMs = Long.MIN_VALUE;
	}

	/**
	 * Records a call that is sent to a zone. One call at a time tests a zone that is
	 * lost, because it waits until its deadline if the zone is still partitioned.
	 * @param zone availability zone of the replica
	 * @param nowMs current time in milliseconds
	 */
	void recordCall(AvailabilityZone zone, long nowMs) {
		ZoneStatus status = this.statusByZone.get(zone);
		if (status != null && status.isLost && nowMs >= status.avoidedUntilMs) {
			status.avoidedUntilMs = nowMs + AVOIDANCE_MS;
		}
	}

	boolean isReachable(AvailabilityZone zone, long nowMs) {
		ZoneStatus status = this.statusByZone.get(zone);
		return status == null || nowMs >= status.avoidedUntilMs;
	}

	private static final class ZoneStatus {

		private final Set<Object> unansweredCalls = new HashSet<>();

		private long windowStartedAtMs = Long.MIN_VALUE / 2;

		private long lastAnswerAtMs = Long.MIN_VALUE;

		private long avoidedUntilMs = Long.MIN_VALUE;

		/**
		 * Whether the zone was reported lost and has not answered since. A single
		 * unanswered call then makes it unreachable again.
		 */
		private boolean isLost;

	}

}
