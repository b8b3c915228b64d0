package dev.nutmegdoor.core.program;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Lists the peer message types of this package for the codec.
 */
public final class ProgramMessages {

	private ProgramMessages() {
	}

	public static List<Class<? extends PeerMessage>> types() {
		return List.of(AppendRequest.class, AppendAnswer.class, LogReadRequest.class, LogReadAnswer.class,
				PartitionHint.class, HandOverOffer.class, HandOverAnswer.class);
	}

}
