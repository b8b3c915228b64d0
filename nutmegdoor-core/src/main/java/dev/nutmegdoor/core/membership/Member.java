package dev.nutmegdoor.core.membership;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * An instance as another one sees it.
 *
 * @param id identifier
 * @param availabilityZone zone
 * @param host IP number
 * @param port TCP port for messages between instances
 * @param state state
 */
public record Member(InstanceId id, AvailabilityZone availabilityZone, String host, int port, MemberState state) {

}
