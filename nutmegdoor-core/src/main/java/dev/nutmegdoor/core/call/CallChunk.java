package dev.nutmegdoor.core.call;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Generated text on its way from the home to the entry instance.
 *
 * @param callId identifier of the call
 * @param offset characters before this piece
 * @param text the piece
 */
public record CallChunk(String callId, int offset, String text) implements PeerMessage {

}
