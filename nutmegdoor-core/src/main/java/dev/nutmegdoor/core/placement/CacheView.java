package dev.nutmegdoor.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Which replica is expected to hold which program's prefix, from what this instance sent
 * and from cache events, which arrive late and with gaps.
 */
final class CacheView {

	/** Bounds the memory: 20,000 programs take about 4 MB. */
	private static final int MAX_OWNERS = 20_000;

	private final Map<String, List<Holding>> byOwner = new LinkedHashMap<>(64, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, List<Holding>> eldest) {
			return size() > MAX_OWNERS;
		}

	};

	private final Map<UpstreamId, Long> lastSequences = new HashMap<>();

	private long lostEvents;

	// Notes what a replica holds after a call of this instance.
	void sent(String owner, UpstreamId replica, int tokens, long nowMs) {
		put(owner, replica, tokens, nowMs);
	}

	// Applies events that were measured before nowMs. lagMs: typical age of an event; an
	// event is ignored if this instance knows something newer of the same program.
	void apply(UpstreamId replica, List<CacheEvent> events, long nowMs, long lagMs) {
		for (CacheEvent event : events) {
			Long last = this.lastSequences.get(replica);
			if (last != null && event.sequence() <= last) {
				continue;
			}
			if (last != null) {
				this.lostEvents += event.sequence() - last - 1;
			}
			this.lastSequences.put(replica, event.sequence());
			Holding known = find(event.owner(), replica);
			if (known != null && known.learnedAtMs > nowMs - lagMs) {
				continue;
			}
			put(event.owner(), replica, event.tokens(), nowMs - lagMs);
		}
	}

	int tokens(String owner, UpstreamId replica) {
		Holding holding = find(owner, replica);
		return (holding != null) ? holding.tokens : 0;
	}

	List<UpstreamId> holders(String owner) {
		List<UpstreamId> ids = new ArrayList<>();
		for (Holding holding : this.byOwner.getOrDefault(owner, List.of())) {
			ids.add(holding.replica);
		}
		return ids;
	}

	void forget(String owner) {
		this.byOwner.remove(owner);
	}

	void forgetReplica(UpstreamId replica) {
		this.byOwner.values().forEach((holdings) -> holdings.removeIf((holding) -> holding.replica.equals(replica)));
		this.lastSequences.remove(replica);
	}

	long lastSequence(UpstreamId replica) {
		return this.lastSequences.getOrDefault(replica, 0L);
	}

	long lostEvents() {
		return this.lostEvents;
	}

	int owners() {
		return this.byOwner.size();
	}

	private @Nullable Holding find(String owner, UpstreamId replica) {
		for (Holding holding : this.byOwner.getOrDefault(owner, List.of())) {
			if (holding.replica.equals(replica)) {
				return holding;
			}
		}
		return null;
	}

	private void put(String owner, UpstreamId replica, int tokens, long learnedAtMs) {
		if (tokens == 0 && !this.byOwner.containsKey(owner)) {
			return;
		}
		List<Holding> holdings = this.byOwner.computeIfAbsent(owner, (key) -> new ArrayList<>(2));
		holdings.removeIf((holding) -> holding.replica.equals(replica));
		if (tokens > 0) {
			holdings.add(new Holding(replica, tokens, learnedAtMs));
		}
		if (holdings.isEmpty()) {
			this.byOwner.remove(owner);
		}
	}

	private record Holding(UpstreamId replica, int tokens, long learnedAtMs) {

	}

}
