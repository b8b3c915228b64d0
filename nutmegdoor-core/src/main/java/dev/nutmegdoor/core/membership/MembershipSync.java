package dev.nutmegdoor.core.membership;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Requests all members from the receiver, which replies with a
 * {@link MembershipSyncAnswer}.
 *
 * @param sender entry of the sender, with its state and version
 */
public record MembershipSync(MemberUpdate sender) implements PeerMessage {

}
