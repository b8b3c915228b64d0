package dev.nutmegdoor.core.limit;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Types of the messages of this package, for the codec.
 */
public final class LimitMessages {

	private LimitMessages() {
	}

	/**
	 * Returns all message types.
	 * @return requests and answers
	 */
	public static List<Class<? extends PeerMessage>> types() {
		return List.of(AdmitRequest.class, AdmitAnswer.class, ShareRequest.class, ShareAnswer.class,
				ShareTransfer.class, ShareTransferAnswer.class);
	}

}
