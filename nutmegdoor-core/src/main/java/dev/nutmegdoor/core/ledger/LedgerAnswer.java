package dev.nutmegdoor.core.ledger;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Reply to {@link LedgerReserve}, sent after the entry has been stored durably.
 *
 * @param entries all entries of the program that the replica has
 * @param members all replicas in the member list of the sender, including itself unless
 * it is leaving; empty if the receiver knows exactly these
 */
public record LedgerAnswer(List<LedgerEntry> entries, List<LedgerMember> members) implements PeerMessage {

	public LedgerAnswer {
		entries = List.copyOf(entries);
		members = List.copyOf(members);
	}

}
