package dev.nutmegdoor.core.call;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Acknowledges the end of a forwarded call.
 *
 * @param callId identifier of the call
 */
public record CallOutcomeAck(String callId) implements PeerMessage {

}
