package dev.nutmegdoor.core.route;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Requests the deployment state of another instance while the platform's store is
 * unavailable.
 */
public record DeploymentRequest() implements PeerMessage {

}
