package dev.nutmegdoor.node.cluster;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Reply to {@link ResolveRequest}.
 *
 * @param isResolved {@code true} if the instance has recorded the outcome, {@code false}
 * if it has no such call with an unknown outcome
 */
public record ResolveAnswer(boolean isResolved) implements PeerMessage {

}
