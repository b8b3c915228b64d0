package dev.nutmegdoor.core.ledger;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Request to another instance to forward a reservation to a replica that the sender
 * cannot reach. The reply is that of the replica.
 *
 * @param replica receiver of the forwarded reservation
 * @param reserve the reservation
 */
public record LedgerProxyReserve(InstanceId replica, LedgerReserve reserve) implements PeerMessage {

}
