package dev.nutmegdoor.core.membership;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * An instance in the platform's list.
 *
 * @param id identifier
 * @param availabilityZone zone
 * @param host IP number
 * @param port TCP port for messages between instances
 * @param isLeaving whether the platform is about to end the instance
 */
public record DirectoryEntry(InstanceId id, AvailabilityZone availabilityZone, String host, int port,
		boolean isLeaving) {

	MemberUpdate toUpdate() {
		MemberState state = this.isLeaving ? MemberState.LEAVING : MemberState.LIVE;
		return new MemberUpdate(new Member(this.id, this.availabilityZone, this.host, this.port, state), 0);
	}

}
