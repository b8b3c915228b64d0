package dev.nutmegdoor.core.route;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.ledger.LedgerMember;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to a {@link DeploymentRequest}: the deployment state of the answering instance.
 *
 * @param configuration newest configuration in the form in which it is stored, or
 * {@code null} if the instance has received none
 * @param replicas replicas that are ready or leaving
 * @param ledgerReplicas known replicas of the token ledger; {@code null}, which is read
 * as none, from an instance of an older version
 * @param evacuations evacuated zones, or {@code null} from an instance that does not know
 * them
 */
public record DeploymentAnswer(@Nullable String configuration, List<Upstream> replicas,
		List<LedgerMember> ledgerReplicas, @Nullable EvacuatedZones evacuations) implements PeerMessage {

	public DeploymentAnswer(@Nullable String configuration, List<Upstream> replicas,
			@Nullable List<LedgerMember> ledgerReplicas, @Nullable EvacuatedZones evacuations) {
		this.configuration = configuration;
		this.replicas = List.copyOf(replicas);
		this.ledgerReplicas = (ledgerReplicas != null) ? List.copyOf(ledgerReplicas) : List.of();
		this.evacuations = evacuations;
	}

}
