package dev.nutmegdoor.core.stream;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Tells another instance, which remembers it, that a stream has been sent to a replica.
 *
 * @param attempt hash of the identifier of the client's attempt
 * @param origin the replicas at which the stream may go on
 */
public record StreamBegun(long attempt, StreamOrigin origin) implements PeerMessage {

}
