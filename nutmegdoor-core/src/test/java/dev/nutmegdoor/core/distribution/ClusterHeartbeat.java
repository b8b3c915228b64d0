package dev.nutmegdoor.core.distribution;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Heartbeat of the test cluster, which replaces that of the membership controller.
 *
 * @param configurationVersion version of the sender's active configuration
 * @param withdrawalDigest digest of the key withdrawals that the sender has received
 */
public record ClusterHeartbeat(long configurationVersion, String withdrawalDigest) implements PeerMessage {

}
