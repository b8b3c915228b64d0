package dev.nutmegdoor.core.ledger;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to {@link LedgerSync}.
 *
 * @param isComplete whether the sender has all entries that it should have
 * @param entries all entries of the sender, if they were asked for
 * @param members all replicas that the sender knows
 */
public record LedgerSyncAnswer(boolean isComplete, List<LedgerEntry> entries,
		List<LedgerMember> members) implements PeerMessage {

	public LedgerSyncAnswer {
		entries = List.copyOf(entries);
		members = List.copyOf(members);
	}

}
