package dev.nutmegdoor.core.membership;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Reply to a {@link MembershipSync} with all members that are not gone.
 *
 * @param members instances with their states and versions, including the sender
 */
public record MembershipSyncAnswer(List<MemberUpdate> members) implements PeerMessage {

	public MembershipSyncAnswer {
		members = List.copyOf(members);
	}

}
