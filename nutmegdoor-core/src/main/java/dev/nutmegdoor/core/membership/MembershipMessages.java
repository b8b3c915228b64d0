package dev.nutmegdoor.core.membership;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Lists the peer message types of this package for registration with the codec.
 */
public final class MembershipMessages {

	private MembershipMessages() {
	}

	/**
	 * Returns the message types of this package.
	 * @return types of requests, replies and one-way messages
	 */
	public static List<Class<? extends PeerMessage>> types() {
		return List.of(Heartbeat.class, MembershipChange.class, MembershipSync.class, MembershipSyncAnswer.class);
	}

}
