package dev.nutmegdoor.node.cluster;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Whether an instance has recorded the outcome of a call.
 *
 * @param isResolved {@code false} if the call is not unresolved there
 */
public record ResolveAnswer(boolean isResolved) implements PeerMessage {

}
