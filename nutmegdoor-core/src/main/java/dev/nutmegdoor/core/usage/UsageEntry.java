package dev.nutmegdoor.core.usage;

import java.util.Map;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * What one instance has admitted, as a relay passes it on.
 *
 * @param instance the instance that has admitted the requests
 * @param zone availability zone of the instance
 * @param incarnation identifies its run; counts restart at 0 with each run
 * @param uptimeMs time since the start of this run in milliseconds
 * @param admitted requests admitted since the start, only of workspaces with a change
 */
public record UsageEntry(InstanceId instance, AvailabilityZone zone, String incarnation, long uptimeMs,
		Map<String, Long> admitted) {

	public UsageEntry {
		admitted = Map.copyOf(admitted);
	}

}
