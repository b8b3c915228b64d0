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
 * @param isSole whether no other required replica is reachable for the owner
 * @param isGreeting whether this is a handshake, in which the replica has to report the
 * programs that it stores
 * @param removed programs whose logs the replica has to remove
 */
public record AppendRequest(String partition, long epoch, List<LogEntry> entries, boolean isSole, boolean isGreeting,
		List<ProgramId> removed) implements PeerMessage {

	public AppendRequest {
		entries = List.copyOf(entries);
		removed = List.copyOf(removed);
	}

}
