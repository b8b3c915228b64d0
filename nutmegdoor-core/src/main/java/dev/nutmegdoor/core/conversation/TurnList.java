package dev.nutmegdoor.core.conversation;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to {@link TurnListRequest}.
 *
 * @param keys turns in a fixed order
 * @param hasMore whether further turns follow
 */
public record TurnList(List<TurnKey> keys, boolean hasMore) implements PeerMessage {

	public TurnList {
		keys = List.copyOf(keys);
	}

}
