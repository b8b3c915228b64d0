package dev.nutmegdoor.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Estimates which replicas hold the cached prefix of each owner. The sources are the
 * calls that this instance has sent and the cache events of the replicas, which arrive
 * late and with gaps. Not thread-safe.
 */
final class CacheView {

	/** Limits the memory use: 20,000 owners take about 4 MB. */
	private static final int MAX_OWNERS = 20_000;

	private final Map<String, List<Holding>> holdingsByOwner = new LinkedHashMap<>(64, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, List<Holding>> eldest) {
			return size() > MAX_OWNERS;
		}

	};

	private final Map<UpstreamId, Long> lastSequenceByReplica = new HashMap<>();

	private long lostEvents;

	// Records the prefix that a replica holds after a call of this instance.
	void recordPrefix(String owner, UpstreamId replica, int tokens, long nowMs) {
		putHolding(owner, replica, tokens, nowMs);
	}

	// Applies cache events, which were generated about lagMs before nowMs. An event is
	// ignored if this instance has a more recent record of the same owner and replica.
	void apply(UpstreamId replica, List<CacheEvent> events, long nowMs, long lagMs) {
		for (CacheEvent event : events) {
			Long lastSequence = this.lastSequenceByReplica.get(replica);
			if (lastSequence != null && event.sequence() <= lastSequence) {
				continue;
			}
			if (lastSequence != null) {
				this.lostEvents += event.sequence() - lastSequence - 1;
			}
			this.lastSequenceByReplica.put(replica, event.sequence());
			Holding current = findHolding(event.owner(), replica);
			if (current != null && current.learnedAtMs > nowMs - lagMs) {
				continue;
			}
			putHolding(event.owner(), replica, event.tokens(), nowMs - lagMs);
		}
	}

	int tokens(String owner, UpstreamId replica) {
		Holding holding = findHolding(owner, replica);
		return (holding != null) ? holding.tokens : 0;
	}

	List<UpstreamId> holders(String owner) {
		List<UpstreamId> ids = new ArrayList<>();
		for (Holding holding : this.holdingsByOwner.getOrDefault(owner, List.of())) {
			ids.add(holding.replica);
		}
		return ids;
	}

	void removeOwner(String owner) {
		this.holdingsByOwner.remove(owner);
	}

	void removeReplica(UpstreamId replica) {
		this.holdingsByOwner.values()
			.forEach((holdings) -> holdings.removeIf((holding) -> holding.replica.equals(replica)));
		this.lastSequenceByReplica.remove(replica);
	}

	long lastSequence(UpstreamId replica) {
		return this.lastSequenceByReplica.getOrDefault(replica, 0L);
	}

	long lostEventCount() {
		return this.lostEvents;
	}

	int ownerCount() {
		return this.holdingsByOwner.size();
	}

	private @Nullable Holding findHolding(String owner, UpstreamId replica) {
		for (Holding holding : this.holdingsByOwner.getOrDefault(owner, List.of())) {
			if (holding.replica.equals(replica)) {
				return holding;
			}
		}
		return null;
	}

	private void putHolding(String owner, UpstreamId replica, int tokens, long learnedAtMs) {
		if (tokens == 0 && !this.holdingsByOwner.containsKey(owner)) {
			return;
		}
		List<Holding> holdings = this.holdingsByOwner.computeIfAbsent(owner, (key) -> new ArrayList<>(2));
		holdings.removeIf((holding) -> holding.replica.equals(replica));
		if (tokens > 0) {
			holdings.add(new Holding(replica, tokens, learnedAtMs));
		}
		if (holdings.isEmpty()) {
			this.holdingsByOwner.remove(owner);
		}
	}

	private record Holding(UpstreamId replica, int tokens, long learnedAtMs) {

	}

}
