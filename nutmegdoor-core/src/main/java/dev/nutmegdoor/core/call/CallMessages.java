package dev.nutmegdoor.core.call;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Lists the peer message types of this package for registration with the codec.
 */
public final class CallMessages {

	private CallMessages() {
	}

	public static List<Class<? extends PeerMessage>> types() {
		return List.of(CallForward.class, CallAccepted.class, CallChunk.class, CallResume.class, CallCancel.class,
				CallOutcome.class, CallOutcomeAck.class, ProgramOpen.class, ProgramClose.class, ProgramAnswer.class);
	}

}
