package dev.nutmegdoor.core.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.upstream.EngineClient;

/**
 * Releases the cached prefixes of ended programs, and resends each release until the
 * engine acknowledges it or is no longer configured.
 */
final class CacheReleaser {

	private final ReplicaIndex index;

	private final EngineClient engines;

	private final Map<ProgramId, Set<UpstreamId>> pendingEngines = new LinkedHashMap<>();

	CacheReleaser(ReplicaIndex index, EngineClient engines) {
		this.index = index;
		this.engines = engines;
	}

	void release(ProgramId program) {
		List<UpstreamId> holders = this.index.holders(program.toString());
		this.index.removeOwner(program.toString());
		if (!holders.isEmpty()) {
			this.pendingEngines.put(program, new HashSet<>(holders));
			send(program);
		}
	}

	void retryPendingReleases() {
		new ArrayList<>(this.pendingEngines.keySet()).forEach(this::send);
	}

	int pendingReleaseCount() {
		return this.pendingEngines.size();
	}

	private void send(ProgramId program) {
		for (UpstreamId id : List.copyOf(this.pendingEngines.getOrDefault(program, Set.of()))) {
			Upstream upstream = this.index.upstream(id);
			if (upstream == null) {
				acknowledged(program, id);
				continue;
			}
			this.engines.release(upstream, program).thenRun(() -> acknowledged(program, id));
		}
	}

	private void acknowledged(ProgramId program, UpstreamId id) {
		Set<UpstreamId> holders = this.pendingEngines.get(program);
		if (holders != null && holders.remove(id) && holders.isEmpty()) {
			this.pendingEngines.remove(program);
		}
	}

}
