package dev.nutmegdoor.core.configuration;

import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Result of a query on which instances of the fleet a version is active.
 *
 * @param version the queried version
 * @param inForce number of instances on which it or a later one is active
 * @param behind active versions of the reachable instances that have an older one
 * @param unreachable instances that did not reply
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
