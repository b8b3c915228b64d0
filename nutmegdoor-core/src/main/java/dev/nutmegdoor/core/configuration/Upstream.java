package dev.nutmegdoor.core.configuration;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Replica of a model engine or service to which the scheduler sends calls.
 *
 * @param id identifier
 * @param kind whether the replica serves models or a plain service
 * @param availabilityZone availability zone in which the replica runs
 * @param host IP address
 * @param port TCP port
 * @param serves names of the models of an engine, or of the services
 * @param maxConcurrentCalls maximum number of calls that the replica runs concurrently
 * @param isFencingChecked whether the replica rejects orders with an outdated fencing
 * token
 * @param isLeaving whether the replica is draining and receives no new work
 * @param softwareVersion version of its software, or {@code null} if it is not known
 */
public record Upstream(UpstreamId id, UpstreamKind kind, AvailabilityZone availabilityZone, String host, int port,
		List<String> serves, int maxConcurrentCalls, boolean isFencingChecked, boolean isLeaving,
		@Nullable String softwareVersion) {

	public Upstream {
		serves = List.copyOf(serves);
	}

	public Upstream(UpstreamId id, UpstreamKind kind, AvailabilityZone availabilityZone, String host, int port,
			List<String> serves, int maxConcurrentCalls, boolean isFencingChecked, boolean isLeaving) {
		this(id, kind, availabilityZone, host, port, serves, maxConcurrentCalls, isFencingChecked, isLeaving, null);
	}

	/**
	 * Returns the replica as one that is leaving.
	 * @return a copy that receives no new work
	 */
	public Upstream asLeaving() {
		return new Upstream(this.id, this.kind, this.availabilityZone, this.host, this.port, this.serves,
				this.maxConcurrentCalls, this.isFencingChecked, true, this.softwareVersion);
	}

}
