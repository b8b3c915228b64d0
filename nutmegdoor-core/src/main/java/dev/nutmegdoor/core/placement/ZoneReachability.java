package dev.nutmegdoor.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;

/**
 * Judges from the calls of this instance whether another availability zone can be
 * reached. A cut of the network shows as calls to a zone that get no sign of life while
 * other zones answer; each call that finds this out by itself loses the time of a
 * connection attempt, or of a client that waits in vain.
 */
final class ZoneReachability {

	/** Calls without a sign of life that make a zone unreachable. */
	private static final int UNREACHABLE_AFTER_CALLS = 2;

	/** Time in milliseconds in which they must have been noted. */
	private static final long UNANSWERED_WINDOW_MS = 1_000;

	/**
	 * Time in milliseconds for which a zone then counts as unreachable. Cuts last some
	 * seconds; afterwards one call tries the zone again.
	 */
	private static final long AVOIDANCE_MS = 1_500;

	/**
	 * Time in milliseconds in which another zone must have answered, also if the call
	 * failed sooner. A busy instance reads some answers in it.
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
	 * Notes a call to which a replica gave no sign of life.
	 * @param zone zone of the replica
	 * @param call the call; one that is noted again counts once
	 * @param sinceMs time at which it was sent
	 * @param nowMs present time in milliseconds
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

	// While nobody answers, this instance is slow itself, or all replicas are loaded.
	private boolean isOtherZoneAnswering(AvailabilityZone zone, long sinceMs) {
		return this.statusByZone.entrySet()
			.stream()
			.anyMatch((other) -> !other.getKey().equals(zone) && other.getValue().lastAnswerAtMs >= sinceMs);
	}

	/**
	 * Notes an answer, or the beginning of one.
	 * @param zone zone of the replica that answers
	 * @param nowMs present time in milliseconds
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

	boolean isReachable(AvailabilityZone zone, long nowMs) {
		ZoneStatus status = this.statusByZone.get(zone);
		return status == null || nowMs >= status.avoidedUntilMs;
	}

	private static final class ZoneStatus {

		private final Set<Object> unansweredCalls = new HashSet<>();

		private long windowStartedAtMs = Long.MIN_VALUE / 2;

		private long lastAnswerAtMs = Long.MIN_VALUE;

		private long avoidedUntilMs = Long.MIN_VALUE;

		/** Whether one more silent call suffices, until the zone answers again. */
		private boolean isLost;

	}

}
