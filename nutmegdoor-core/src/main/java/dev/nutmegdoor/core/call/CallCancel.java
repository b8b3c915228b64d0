package dev.nutmegdoor.core.call;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Tells the home that the caller of a call is gone.
 *
 * @param callId identifier of the call
 */
public record CallCancel(String callId) implements PeerMessage {

}
