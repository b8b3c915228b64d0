package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to a {@link HandOverOffer}.
 *
 * @param isAccepted whether the peer is ready to own the partition: its lease is valid
 * and it does not drain
 * @param leaseEpoch epoch of the peer's lease
 */
public record HandOverAnswer(boolean isAccepted, long leaseEpoch) implements PeerMessage {

}
