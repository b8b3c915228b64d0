package dev.nutmegdoor.node.relay;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.route.Deployment;
import dev.nutmegdoor.core.route.EvacuatedZones;
import dev.nutmegdoor.core.usage.EvacuationSharing;

/**
 * Shares the evacuated zones of the deployment that this instance knows.
 */
final class DeploymentEvacuationSharing implements EvacuationSharing {

	private final Deployment deployment;

	DeploymentEvacuationSharing(Deployment deployment) {
		this.deployment = deployment;
	}

	@Override
	public @Nullable EvacuatedZones confirmed() {
		return this.deployment.confirmedEvacuations();
	}

	@Override
	public void receivedFrom(InstanceId from, EvacuatedZones evacuations) {
		this.deployment.accept(evacuations, from.value());
	}

}
