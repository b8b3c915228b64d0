package dev.nutmegdoor.core.configuration;

import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Where a version is in force.
 *
 * @param version the version
 * @param inForce number of instances that have it or a later one
 * @param behind versions of reachable instances that have an older one
 * @param unreachable instances that didn't answer
 */
public record FleetVersion(long version, int inForce, Map<InstanceId, Long> behind, List<InstanceId> unreachable) {

	public FleetVersion {
		behind = Map.copyOf(behind);
		unreachable = List.copyOf(unreachable);
	}

	public boolean isOnAllReachable() {
		return this.behind.isEmpty();
	}

}
