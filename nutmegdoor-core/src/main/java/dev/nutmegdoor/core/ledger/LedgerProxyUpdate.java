package dev.nutmegdoor.core.ledger;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks another instance to pass an update on to all replicas.
 *
 * @param update the update
 */
public record LedgerProxyUpdate(LedgerUpdate update) implements PeerMessage {

}
