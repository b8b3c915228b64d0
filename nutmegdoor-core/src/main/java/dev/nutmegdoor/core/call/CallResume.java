package dev.nutmegdoor.core.call;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks the home to send the text again from an offset, because a piece is missing.
 *
 * @param callId identifier of the call
 * @param offset characters that the entry instance has received
 */
public record CallResume(String callId, int offset) implements PeerMessage {

}
