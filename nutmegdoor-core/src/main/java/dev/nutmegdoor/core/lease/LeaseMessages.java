package dev.nutmegdoor.core.lease;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Lists the peer message types of this package for registration with the codec.
 */
public final class LeaseMessages {

	private LeaseMessages() {
	}

	/**
	 * Returns the message types of this package.
	 * @return types of requests and of replies
	 */
	public static List<Class<? extends PeerMessage>> types() {
		return List.of(LeaseBeat.class, LeaseBeatAnswer.class, ConcurrenceRequest.class, ConcurrenceAnswer.class);
	}

}
