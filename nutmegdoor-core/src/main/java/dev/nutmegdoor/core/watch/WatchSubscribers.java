package dev.nutmegdoor.core.watch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Instances that have asked for changes, each for the time of a lease.
 */
final class WatchSubscribers {

	/** Bound of memory; several times the instances of the largest planned zone. */
	private static final int MAX_SUBSCRIBERS = 1_000;

	private final Map<InstanceId, Long> leaseEndsMs = new HashMap<>();

	void add(InstanceId id, long leaseEndMs) {
		if (this.leaseEndsMs.size() < MAX_SUBSCRIBERS || this.leaseEndsMs.containsKey(id)) {
			this.leaseEndsMs.put(id, leaseEndMs);
		}
	}

	Set<InstanceId> current(long nowMs) {
		this.leaseEndsMs.values().removeIf((endMs) -> endMs <= nowMs);
		return this.leaseEndsMs.keySet();
	}

}
