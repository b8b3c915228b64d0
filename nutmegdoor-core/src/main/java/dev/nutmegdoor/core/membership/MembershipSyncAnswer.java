package dev.nutmegdoor.core.membership;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * All instances that the sender knows and that are not gone.
 *
 * @param members the instances, the sender included
 */
public record MembershipSyncAnswer(List<MemberUpdate> members) implements PeerMessage {

	public MembershipSyncAnswer {
		members = List.copyOf(members);
	}

}
