package dev.nutmegdoor.core.ledger;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Sent between replicas: hands over entries, and asks for those of the receiver.
 *
 * @param subject replica that the message speaks of: the sender, or one that it dropped
 * @param isLeaving whether that replica leaves the ledger
 * @param isStateWanted whether the answer is to hold all entries of the receiver
 * @param entries entries to be stored durably before the answer
 */
public record LedgerSync(LedgerMember subject, boolean isLeaving, boolean isStateWanted,
		List<LedgerEntry> entries) implements PeerMessage {

	public LedgerSync {
		entries = List.copyOf(entries);
	}

}
