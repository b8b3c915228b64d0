package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Request of an owner to a peer to take over a partition.
 *
 * @param partition name of the partition
 */
public record HandOverOffer(String partition) implements PeerMessage {

}
