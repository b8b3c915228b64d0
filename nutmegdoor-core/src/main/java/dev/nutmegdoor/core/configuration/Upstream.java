package dev.nutmegdoor.core.configuration;

import java.util.List;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.UpstreamId;

/**
 * One replica behind the scheduler.
 *
 * @param id identifier
 * @param kind kind of the replica
 * @param availabilityZone zone of the replica
 * @param host IP number
 * @param port TCP port
 * @param serves models of an engine or names of services
 * @param maxConcurrentCalls calls that the replica runs at once
 * @param isFencingChecked whether the replica refuses an order with an old fencing number
 * @param isLeaving whether the replica is to get no new work
 */
public record Upstream(UpstreamId id, UpstreamKind kind, AvailabilityZone availabilityZone, String host, int port,
		List<String> serves, int maxConcurrentCalls, boolean isFencingChecked, boolean isLeaving) {

	public Upstream {
		serves = List.copyOf(serves);
	}

}
