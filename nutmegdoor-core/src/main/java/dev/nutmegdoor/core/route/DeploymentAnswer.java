package dev.nutmegdoor.core.route;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to a {@link DeploymentRequest}: the deployment state of the answering instance.
 *
 * @param configuration newest configuration in the form in which it is stored, or
 * {@code null} if the instance has received none
 * @param replicas replicas that are ready or leaving
 */
public record DeploymentAnswer(@Nullable String configuration, List<Upstream> replicas) implements PeerMessage {

	public DeploymentAnswer {
		replicas = List.copyOf(replicas);
	}

}
