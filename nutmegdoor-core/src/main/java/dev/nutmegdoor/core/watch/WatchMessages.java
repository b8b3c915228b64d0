package dev.nutmegdoor.core.watch;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Lists the peer messages of shared watches.
 */
public final class WatchMessages {

	private WatchMessages() {
	}

	public static List<Class<? extends PeerMessage>> types() {
		return List.of(WatchSubscription.class, WatchUpdate.class);
	}

}
