package dev.nutmegdoor.core.ledger;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Entries whose tokens were released; needs no answer, since a lost update only leaves
 * more tokens charged until the next one.
 *
 * @param entries the entries
 */
public record LedgerUpdate(List<LedgerEntry> entries) implements PeerMessage {

	public LedgerUpdate {
		entries = List.copyOf(entries);
	}

}
