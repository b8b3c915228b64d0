package dev.nutmegdoor.core.call;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Requests the home of a call to resend the text from an offset because a chunk is
 * missing.
 *
 * @param callId identifier of the call
 * @param offset number of characters that the entry instance has received
 */
public record CallResume(String callId, int offset) implements PeerMessage {

}
