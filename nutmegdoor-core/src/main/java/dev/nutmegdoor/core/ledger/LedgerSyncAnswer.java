package dev.nutmegdoor.core.ledger;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Reply to {@link LedgerSync}.
 *
 * @param isComplete whether the sender has all entries that it has ever acknowledged
 * @param entries all entries of the sender if they were requested, otherwise empty
 * @param members all replicas in the member list of the sender, including itself unless
 * it is leaving
 * @param turns number of turns of conversations that the sender has, or {@code null} if
 * it has none or its version keeps none
 */
public record LedgerSyncAnswer(boolean isComplete, List<LedgerEntry> entries, List<LedgerMember> members,
		@Nullable Long turns) implements PeerMessage {

	public LedgerSyncAnswer {
		entries = List.copyOf(entries);
		members = List.copyOf(members);
	}

}
