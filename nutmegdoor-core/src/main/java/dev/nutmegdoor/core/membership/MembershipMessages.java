package dev.nutmegdoor.core.membership;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Types of the messages of this package, for the codec.
 */
public final class MembershipMessages {

	private MembershipMessages() {
	}

	/**
	 * Returns all message types.
	 * @return requests, answers and messages without answer
	 */
	public static List<Class<? extends PeerMessage>> types() {
		return List.of(Heartbeat.class, MembershipChange.class, MembershipSync.class, MembershipSyncAnswer.class);
	}

}
