package dev.nutmegdoor.core.ledger;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Reports entries with newly released tokens. There is no reply: after a lost message,
 * the tokens remain charged until the next one.
 *
 * @param entries entries with their current counts
 */
public record LedgerUpdate(List<LedgerEntry> entries) implements PeerMessage {

	public LedgerUpdate {
		entries = List.copyOf(entries);
	}

}
