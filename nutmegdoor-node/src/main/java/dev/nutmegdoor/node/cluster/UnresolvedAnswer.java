package dev.nutmegdoor.node.cluster;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.program.UnresolvedCall;

/**
 * Reply to {@link UnresolvedQuery}.
 *
 * @param calls calls with an unknown outcome, at most as many as the query allows
 */
public record UnresolvedAnswer(List<UnresolvedCall> calls) implements PeerMessage {

	public UnresolvedAnswer {
		calls = List.copyOf(calls);
	}

}
