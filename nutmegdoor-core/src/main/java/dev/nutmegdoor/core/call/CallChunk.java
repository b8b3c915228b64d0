package dev.nutmegdoor.core.call;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Carries a chunk of generated text from the home of a call to its entry instance.
 *
 * @param callId identifier of the call
 * @param offset number of characters that precede this chunk
 * @param text text of this chunk
 */
public record CallChunk(String callId, int offset, String text) implements PeerMessage {

}
