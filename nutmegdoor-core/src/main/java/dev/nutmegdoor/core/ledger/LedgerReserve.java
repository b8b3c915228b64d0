package dev.nutmegdoor.core.ledger;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Request to a replica to store an entry durably and to return all entries that it has of
 * the program.
 *
 * @param entry the entry, which includes the tokens reserved for the new turn
 */
public record LedgerReserve(LedgerEntry entry) implements PeerMessage {

}
