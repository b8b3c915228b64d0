package dev.nutmegdoor.node.relay;

import java.util.List;

import dev.nutmegdoor.core.placement.ObservedLoad;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.usage.LoadSharing;

/**
 * Shares the loads that the responses to this instance report, and places by those of
 * others.
 */
final class IndexLoadSharing implements LoadSharing {

	private final ReplicaIndex index;

	IndexLoadSharing(ReplicaIndex index) {
		this.index = index;
	}

	@Override
	public List<ObservedLoad> takeObservedLoads() {
		return this.index.takeObservedLoads();
	}

	@Override
	public void loadsObservedElsewhere(List<ObservedLoad> loads) {
		this.index.loadsObservedElsewhere(loads);
	}

}
