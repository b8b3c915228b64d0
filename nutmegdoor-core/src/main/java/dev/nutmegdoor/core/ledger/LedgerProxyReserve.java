package dev.nutmegdoor.core.ledger;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks another instance to pass a reservation on to a replica that the sender can't
 * reach. The answer is that of the replica.
 *
 * @param replica the replica
 * @param reserve the reservation
 */
public record LedgerProxyReserve(InstanceId replica, LedgerReserve reserve) implements PeerMessage {

}
