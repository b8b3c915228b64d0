package dev.nutmegdoor.core.program;

import java.util.Map;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer of a replica to an append.
 *
 * @param isAccepted {@code false} if the replica knows a newer epoch
 * @param epoch newest epoch that the replica knows
 * @param heads by program of the request, the last sequence that the replica holds in
 * agreement with the owner
 */
public record AppendAnswer(boolean isAccepted, long epoch, Map<String, Integer> heads) implements PeerMessage {

	public AppendAnswer {
		heads = Map.copyOf(heads);
	}

}
