package dev.nutmegdoor.core.tunnel;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Requests a tunnel to a replica. The receiver takes the address from its own list, so
 * that no sender can direct it to another one.
 *
 * @param replica identifier of the replica
 * @param timeLeftMs time in milliseconds until the deadline of the request that the
 * tunnel is for
 */
public record TunnelRequest(String replica, long timeLeftMs) implements PeerMessage {

}
