package dev.nutmegdoor.core.call;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Notifies the home of a call that the caller has cancelled it or disconnected.
 *
 * @param callId identifier of the call
 */
public record CallCancel(String callId) implements PeerMessage {

}
