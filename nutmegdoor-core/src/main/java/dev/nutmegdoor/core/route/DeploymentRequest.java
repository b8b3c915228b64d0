package dev.nutmegdoor.core.route;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks another instance for the deployment as it knows it, while the platform's store
 * does not answer.
 */
public record DeploymentRequest() implements PeerMessage {

}
