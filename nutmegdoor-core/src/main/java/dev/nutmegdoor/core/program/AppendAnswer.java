package dev.nutmegdoor.core.program;

import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer of a replica to an append.
 *
 * @param isAccepted {@code false} if the replica knows a newer epoch
 * @param epoch newest epoch that the replica knows
 * @param heads by program of the request, the last sequence that the replica holds in
 * agreement with the owner
 * @param held programs that the replica holds, for a greeting
 */
public record AppendAnswer(boolean isAccepted, long epoch, Map<String, Integer> heads,
		List<ProgramId> held) implements PeerMessage {

	public AppendAnswer {
		heads = Map.copyOf(heads);
		held = List.copyOf(held);
	}

}
