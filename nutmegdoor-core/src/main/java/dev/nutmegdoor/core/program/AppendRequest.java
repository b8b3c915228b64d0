package dev.nutmegdoor.core.program;

import java.util.List;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Entries from the owner of a partition to a replica.
 *
 * @param partition name of the partition
 * @param epoch partition epoch of the owner
 * @param entries entries in the order of their chains
 * @param isSole whether the replica is the only one that holds them besides the owner
 * @param isGreeting whether the owner wants to know which programs the replica holds
 * @param removed programs whose logs are no longer needed
 */
public record AppendRequest(String partition, long epoch, List<LogEntry> entries, boolean isSole, boolean isGreeting,
		List<ProgramId> removed) implements PeerMessage {

	public AppendRequest {
		entries = List.copyOf(entries);
		removed = List.copyOf(removed);
	}

}
