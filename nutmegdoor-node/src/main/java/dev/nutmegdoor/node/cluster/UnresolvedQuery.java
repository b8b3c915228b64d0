package dev.nutmegdoor.node.cluster;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks an instance for the calls of its homes whose outcome is unknown.
 *
 * @param limit largest number of calls to return
 */
public record UnresolvedQuery(int limit) implements PeerMessage {

}
