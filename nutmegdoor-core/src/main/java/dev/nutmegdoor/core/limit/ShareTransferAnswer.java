package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to {@link ShareTransfer}.
 *
 * @param sequence greatest sequence that the receiver has recorded durably; earlier ones
 * are included
 */
public record ShareTransferAnswer(long sequence) implements PeerMessage {

}
