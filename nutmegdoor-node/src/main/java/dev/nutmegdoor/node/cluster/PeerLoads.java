package dev.nutmegdoor.node.cluster;

import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.membership.HeartbeatExtension;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Exchanges the numbers of calls in flight by upstream on heartbeats, so that instances
 * that decide independently don't choose the same idle replica at the same time. Used on
 * the control thread.
 */
final class PeerLoads implements HeartbeatExtension {

	/** Age after which the counts of a peer without heartbeats are discarded. */
	private static final long MAX_COUNTS_AGE_MS = 5_000;

	private final ReplicaIndex index;

	private final TimerService timer;

	private final ObjectMapper mapper = new ObjectMapper();

	private final Map<InstanceId, PeerCounts> countsByPeer = new HashMap<>();

	PeerLoads(ReplicaIndex index, TimerService timer) {
		this.index = index;
		this.timer = timer;
	}

	@Override
	public String name() {
		return "calls";
	}

	@Override
	public @Nullable String write() {
		Map<String, Integer> counts = new HashMap<>();
		this.index.inFlight().forEach((upstream, calls) -> {
			if (calls > 0) {
				counts.put(upstream.value(), calls);
			}
		});
		try {
			return this.mapper.writeValueAsString(counts);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("failed to encode counts of calls", ex);
		}
	}

	@Override
	public void read(InstanceId peer, String value) {
		long nowMs = this.timer.nowMs();
		Map<String, Integer> counts;
		try {
			counts = this.mapper.readValue(value, new TypeReference<Map<String, Integer>>() {
			});
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("counts of calls of " + peer + " are malformed", ex);
		}
		PeerCounts previous = this.countsByPeer.put(peer, new PeerCounts(counts, nowMs));
		this.countsByPeer.values().removeIf((entry) -> nowMs - entry.receivedMs() > MAX_COUNTS_AGE_MS);
		counts.keySet().forEach((upstream) -> update(upstream, nowMs));
		if (previous != null) {
			previous.calls().keySet().forEach((upstream) -> update(upstream, nowMs));
		}
	}

	private void update(String upstream, long nowMs) {
		int calls = 0;
		long oldestMs = nowMs;
		for (PeerCounts counts : this.countsByPeer.values()) {
			int count = counts.calls().getOrDefault(upstream, 0);
			calls += count;
			if (count > 0) {
				oldestMs = Math.min(oldestMs, counts.receivedMs());
			}
		}
		this.index.setPeersInFlight(new UpstreamId(upstream), calls, nowMs - oldestMs);
	}

	private record PeerCounts(Map<String, Integer> calls, long receivedMs) {

	}

}
