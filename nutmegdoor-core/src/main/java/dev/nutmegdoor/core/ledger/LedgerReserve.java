package dev.nutmegdoor.core.ledger;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks a replica to store an entry durably and to tell everything that it knows of the
 * program.
 *
 * @param entry the entry, with the tokens of the new turn reserved
 */
public record LedgerReserve(LedgerEntry entry) implements PeerMessage {

}
