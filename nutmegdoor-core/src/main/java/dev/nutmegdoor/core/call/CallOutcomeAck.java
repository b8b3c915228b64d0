package dev.nutmegdoor.core.call;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Acknowledges a {@link CallOutcome}.
 *
 * @param callId identifier of the call
 */
public record CallOutcomeAck(String callId) implements PeerMessage {

}
