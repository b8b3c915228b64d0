package dev.nutmegdoor.core.conversation;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Request of a member for turns that it lacks, answered with {@link TurnCopies}.
 *
 * @param keys the turns
 */
public record TurnCopyRequest(List<TurnKey> keys) implements PeerMessage {

	public TurnCopyRequest {
		keys = List.copyOf(keys);
	}

}
