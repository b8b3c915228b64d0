package dev.nutmegdoor.core.limit;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Lists the message types of this package for registration with the codec.
 */
public final class LimitMessages {

	private LimitMessages() {
	}

	/**
	 * Returns the types of all requests and answers.
	 * @return an immutable list
	 */
	public static List<Class<? extends PeerMessage>> types() {
		return List.of(AdmitRequest.class, AdmitAnswer.class, ShareRequest.class, ShareAnswer.class,
				ShareTransfer.class, ShareTransferAnswer.class);
	}

}
