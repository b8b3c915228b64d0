package dev.nutmegdoor.platform;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * An instance as the platform lists it. The list lags behind the true state.
 *
 * @param id identifier
 * @param availabilityZone zone
 * @param host IP number
 * @param port TCP port for messages between instances
 * @param isLeaving whether the instance is being stopped
 */
public record PlatformInstance(InstanceId id, AvailabilityZone availabilityZone, String host, int port,
		boolean isLeaving) {

}
