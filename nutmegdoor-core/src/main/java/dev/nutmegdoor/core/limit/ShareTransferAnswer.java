package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Acknowledges a {@link ShareTransfer}.
 *
 * @param sequence highest sequence that the receiver has recorded durably; all earlier
 * grants of the donor are acknowledged too
 */
public record ShareTransferAnswer(long sequence) implements PeerMessage {

}
