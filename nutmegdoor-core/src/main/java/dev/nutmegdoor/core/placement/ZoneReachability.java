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
	private static final int SILENT_CALLS = 2;

	/** Time in milliseconds in which they must have been noted. */
	private static final long WINDOW_MS = 1_000;

	/**
	 * Time in milliseconds for which a zone then counts as unreachable. Cuts last some
	 * seconds; afterwards one call tries the zone again.
	 */
	private static final long AVOIDED_MS = 1_500;

	/**
	 * Time in milliseconds in which another zone must have answered, also if the call
	 * failed sooner. A busy instance reads some answers in it.
	 */
	private static final long HEARD_MS = 400;

	private final AvailabilityZone ownZone;

	private final EventLog events;

	private final Map<AvailabilityZone, Signs> zones = new HashMap<>();

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
	void silent(AvailabilityZone zone, Object call, long sinceMs, long nowMs) {
		Signs signs = this.zones.computeIfAbsent(zone, (id) -> new Signs());
		if (zone.equals(this.ownZone) || signs.answeredAtMs >= sinceMs
				|| !isOtherZoneAnswering(zone, Math.min(sinceMs, nowMs - HEARD_MS))) {
			return;
		}
		if (nowMs - signs.firstSilentAtMs > WINDOW_MS) {
			signs.silent.clear();
			signs.firstSilentAtMs = nowMs;
		}
		signs.silent.add(call);
		if (signs.isDoubtful || signs.silent.size() >= SILENT_CALLS) {
			if (!signs.isDoubtful) {
				signs.isDoubtful = true;
				this.events.record("zone.lost", "zone", zone, "silentCalls", signs.silent.size(), "oldestMs",
						nowMs - sinceMs);
			}
			signs.avoidedUntilMs = nowMs + AVOIDED_MS;
		}
	}

	// While nobody answers, this instance is slow itself, or all replicas are loaded.
	private boolean isOtherZoneAnswering(AvailabilityZone zone, long sinceMs) {
		return this.zones.entrySet()
			.stream()
			.anyMatch((other) -> !other.getKey().equals(zone) && other.getValue().answeredAtMs >= sinceMs);
	}

	/**
	 * Notes an answer, or the beginning of one.
	 * @param zone zone of the replica that answers
	 * @param nowMs present time in milliseconds
	 */
	void answered(AvailabilityZone zone, long nowMs) {
		Signs signs = this.zones.computeIfAbsent(zone, (id) -> new Signs());
		signs.answeredAtMs = nowMs;
		signs.silent.clear();
		if (signs.isDoubtful) {
			signs.isDoubtful = false;
			this.events.record("zone.regained", "zone", zone);
		}
		signs.avoidedUntilMs = Long.MIN_VALUE;
	}

	boolean isReachable(AvailabilityZone zone, long nowMs) {
		Signs signs = this.zones.get(zone);
		return signs == null || nowMs >= signs.avoidedUntilMs;
	}

	private static final class Signs {

		private final Set<Object> silent = new HashSet<>();

		private long firstSilentAtMs = Long.MIN_VALUE / 2;

		private long answeredAtMs = Long.MIN_VALUE;

		private long avoidedUntilMs = Long.MIN_VALUE;

		/** Whether one more silent call suffices, until the zone answers again. */
		private boolean isDoubtful;

	}

}
