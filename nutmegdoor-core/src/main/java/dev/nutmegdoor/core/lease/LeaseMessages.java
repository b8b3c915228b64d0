package dev.nutmegdoor.core.lease;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Types of the messages of this package, for the codec.
 */
public final class LeaseMessages {

	private LeaseMessages() {
	}

	/**
	 * Returns all message types.
	 * @return requests and answers
	 */
	public static List<Class<? extends PeerMessage>> types() {
		return List.of(LeaseBeat.class, LeaseBeatAnswer.class, ConcurrenceRequest.class, ConcurrenceAnswer.class);
	}

}
