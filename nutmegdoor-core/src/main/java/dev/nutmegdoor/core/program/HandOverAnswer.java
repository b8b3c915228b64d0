package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to an offer.
 *
 * @param isAccepted whether the peer would own the partition
 * @param leaseEpoch epoch of the peer's lease
 */
public record HandOverAnswer(boolean isAccepted, long leaseEpoch) implements PeerMessage {

}
