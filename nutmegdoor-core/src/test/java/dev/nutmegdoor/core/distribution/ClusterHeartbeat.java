package dev.nutmegdoor.core.distribution;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Heartbeat of the test cluster, which stands for that of the membership controller.
 *
 * @param configurationVersion version in force at the sender
 * @param withdrawalDigest digest of the withdrawals that the sender knows
 */
public record ClusterHeartbeat(long configurationVersion, String withdrawalDigest) implements PeerMessage {

}
