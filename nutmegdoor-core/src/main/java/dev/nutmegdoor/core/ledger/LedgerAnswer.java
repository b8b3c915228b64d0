package dev.nutmegdoor.core.ledger;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer of a replica to {@link LedgerReserve}, sent once the entry is durable.
 *
 * @param entries all entries of the program
 * @param members all replicas that this one knows
 */
public record LedgerAnswer(List<LedgerEntry> entries, List<LedgerMember> members) implements PeerMessage {

	public LedgerAnswer {
		entries = List.copyOf(entries);
		members = List.copyOf(members);
	}

}
