package dev.nutmegdoor.core.membership;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Membership changes that are sent immediately instead of with the next heartbeat.
 *
 * @param updates updated instances with their new states
 */
public record MembershipChange(List<MemberUpdate> updates) implements PeerMessage {

	public MembershipChange {
		updates = List.copyOf(updates);
	}

}
