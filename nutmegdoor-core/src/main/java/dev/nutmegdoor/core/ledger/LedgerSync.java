package dev.nutmegdoor.core.ledger;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Sent between replicas to transfer entries, to request those of the receiver and to
 * announce a change of the member list.
 *
 * @param subject replica that the message is about: the sender, or a replica that the
 * sender has removed
 * @param isLeaving whether that replica is leaving or has been removed from the ledger
 * @param isStateWanted whether the reply must contain all entries of the receiver
 * @param entries entries that the receiver stores durably before it replies
 */
public record LedgerSync(LedgerMember subject, boolean isLeaving, boolean isStateWanted,
		List<LedgerEntry> entries) implements PeerMessage {

	public LedgerSync {
		entries = List.copyOf(entries);
	}

}
