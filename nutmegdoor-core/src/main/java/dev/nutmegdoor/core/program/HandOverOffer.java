package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks a peer whether it would own a partition.
 *
 * @param partition name of the partition
 */
public record HandOverOffer(String partition) implements PeerMessage {

}
