package dev.nutmegdoor.core.route;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * The deployment as an instance knows it.
 *
 * @param configuration the newest configuration as its writer wrote it, or {@code null}
 * if the instance knows none
 * @param replicas replicas that are ready or leaving
 */
public record DeploymentAnswer(@Nullable String configuration, List<Upstream> replicas) implements PeerMessage {

	public DeploymentAnswer {
		replicas = List.copyOf(replicas);
	}

}
