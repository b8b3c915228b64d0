package dev.nutmegdoor.core.membership;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * Instance of the cluster, with its state as seen by the instance that holds this record.
 *
 * @param id identifier of the instance
 * @param availabilityZone availability zone of the instance
 * @param host IP address
 * @param port TCP port for messages between instances
 * @param state last observed or reported state
 */
public record Member(InstanceId id, AvailabilityZone availabilityZone, String host, int port, MemberState state) {

}
