package dev.nutmegdoor.core.ledger;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Request to another instance to forward an update to all replicas. There is no reply.
 *
 * @param update the update
 */
public record LedgerProxyUpdate(LedgerUpdate update) implements PeerMessage {

}
