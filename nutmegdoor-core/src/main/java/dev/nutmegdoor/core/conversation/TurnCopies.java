package dev.nutmegdoor.core.conversation;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to {@link TurnCopyRequest}.
 *
 * @param turns the requested turns that the sender still has, as many as fit into one
 * message, at least one if it has any
 */
public record TurnCopies(List<StoredTurn> turns) implements PeerMessage {

	public TurnCopies {
		turns = List.copyOf(turns);
	}

}
