package dev.nutmegdoor.core.schedule;

import java.util.HashMap;
import java.util.Map;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * Checks the invariant that leaving upstreams receive no new calls, apart from those
 * within a grace period.
 */
final class DrainChecker {

	/**
	 * Time in milliseconds after an upstream started to leave, during which calls may
	 * still be sent to it.
	 */
	private static final long LEAVING_GRACE_MS = 3_000;

	private final Map<UpstreamId, Long> leavingSinceMs = new HashMap<>();

	private final InvariantRegistry invariants;

	DrainChecker(InvariantRegistry invariants) {
		this.invariants = invariants;
	}

	void apply(Map<UpstreamId, Upstream> upstreams, long nowMs) {
		this.leavingSinceMs.keySet().retainAll(upstreams.keySet());
		for (Upstream upstream : upstreams.values()) {
			if (upstream.isLeaving()) {
				this.leavingSinceMs.putIfAbsent(upstream.id(), nowMs);
			}
			else {
				this.leavingSinceMs.remove(upstream.id());
			}
		}
	}

	void checkSend(UpstreamId id, long nowMs) {
		Long sinceMs = this.leavingSinceMs.get(id);
		this.invariants.check(Invariant.UPSTREAM_DRAIN, sinceMs == null || nowMs - sinceMs <= LEAVING_GRACE_MS,
				() -> "call sent to " + id + ", which has been leaving since " + sinceMs + " ms, at " + nowMs + " ms");
	}

}
