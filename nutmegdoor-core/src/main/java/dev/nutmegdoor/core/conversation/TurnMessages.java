package dev.nutmegdoor.core.conversation;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Lists the peer messages of kept conversations.
 */
public final class TurnMessages {

	private TurnMessages() {
	}

	public static List<Class<? extends PeerMessage>> types() {
		return List.of(TurnStore.class, TurnStored.class, TurnQuery.class, TurnChain.class, TurnListRequest.class,
				TurnList.class, TurnCopyRequest.class, TurnCopies.class);
	}

}
