package dev.nutmegdoor.node.cluster;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.program.UnresolvedCall;

/**
 * Calls of an instance's homes whose outcome is unknown.
 *
 * @param calls the calls
 */
public record UnresolvedAnswer(List<UnresolvedCall> calls) implements PeerMessage {

	public UnresolvedAnswer {
		calls = List.copyOf(calls);
	}

}
