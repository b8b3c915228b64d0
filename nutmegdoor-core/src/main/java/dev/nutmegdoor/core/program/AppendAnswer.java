package dev.nutmegdoor.core.program;

import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer of a replica to an append.
 *
 * @param isAccepted {@code false} if the replica has seen a newer epoch
 * @param epoch newest epoch that the replica has seen
 * @param heads by program of the request, the position up to which the replica stores the
 * same entries as the owner; 0 if the chain has to be resent from its start
 * @param held programs that the replica stores, if the request was a handshake; otherwise
 * empty
 */
public record AppendAnswer(boolean isAccepted, long epoch, Map<String, Integer> heads,
		List<ProgramId> held) implements PeerMessage {

	public AppendAnswer {
		heads = Map.copyOf(heads);
		held = List.copyOf(held);
	}

}
