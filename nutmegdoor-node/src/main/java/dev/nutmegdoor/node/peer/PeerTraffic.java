package dev.nutmegdoor.node.peer;

/**
 * Counters of the messages to other instances.
 *
 * @param sentFrames frames sent
 * @param sentBytes bytes sent, length prefixes included
 * @param droppedFrames frames dropped because a peer was slow or unreachable
 */
public record PeerTraffic(long sentFrames, long sentBytes, long droppedFrames) {

}
