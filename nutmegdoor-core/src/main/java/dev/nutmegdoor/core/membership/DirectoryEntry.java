package dev.nutmegdoor.core.membership;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * Instance in the platform's instance list.
 *
 * @param id identifier of the instance
 * @param availabilityZone availability zone of the instance
 * @param host IP address
 * @param port TCP port for messages between instances
 * @param isLeaving {@code true} if the platform is about to terminate the instance
 */
public record DirectoryEntry(InstanceId id, AvailabilityZone availabilityZone, String host, int port,
		boolean isLeaving) {

	MemberUpdate toUpdate() {
		MemberState state = this.isLeaving ? MemberState.LEAVING : MemberState.LIVE;
		return new MemberUpdate(new Member(this.id, this.availabilityZone, this.host, this.port, state), 0);
	}

}
