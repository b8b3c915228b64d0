package dev.nutmegdoor.node.cluster;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Queries an instance for the calls with an unknown outcome in programs whose home it is.
 *
 * @param limit maximum number of calls to return
 */
public record UnresolvedQuery(int limit) implements PeerMessage {

}
