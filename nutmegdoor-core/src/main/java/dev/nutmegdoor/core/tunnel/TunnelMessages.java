package dev.nutmegdoor.core.tunnel;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Lists the peer messages of tunnels.
 */
public final class TunnelMessages {

	private TunnelMessages() {
	}

	public static List<Class<? extends PeerMessage>> types() {
		return List.of(TunnelRequest.class, TunnelAnswer.class);
	}

}
