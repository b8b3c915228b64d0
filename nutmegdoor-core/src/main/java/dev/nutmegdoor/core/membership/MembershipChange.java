package dev.nutmegdoor.core.membership;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Changes that are passed on at once.
 *
 * @param updates the changes
 */
public record MembershipChange(List<MemberUpdate> updates) implements PeerMessage {

	public MembershipChange {
		updates = List.copyOf(updates);
	}

}
