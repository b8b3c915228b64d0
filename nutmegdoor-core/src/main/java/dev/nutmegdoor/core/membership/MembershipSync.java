package dev.nutmegdoor.core.membership;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks for all instances that the receiver knows; answered by
 * {@link MembershipSyncAnswer}.
 *
 * @param sender the sender with its state and version
 */
public record MembershipSync(MemberUpdate sender) implements PeerMessage {

}
