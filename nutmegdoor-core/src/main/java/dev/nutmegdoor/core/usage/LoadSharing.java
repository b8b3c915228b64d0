package dev.nutmegdoor.core.usage;

import java.util.List;

import dev.nutmegdoor.core.placement.ObservedLoad;

/**
 * Loads of replicas that travel with the usage of this instance.
 */
public interface LoadSharing {

	/** Shares nothing. */
	LoadSharing NONE = new LoadSharing() {

		@Override
		public List<ObservedLoad> takeObservedLoads() {
			return List.of();
		}

		@Override
		public void loadsObservedElsewhere(List<ObservedLoad> loads) {
		}

	};

	/**
	 * Returns the loads that this instance has observed since the last call.
	 * @return the last load of each observed replica
	 */
	List<ObservedLoad> takeObservedLoads();

	/**
	 * Receives loads that other instances have observed.
	 * @param loads loads of any replicas, in any order
	 */
	void loadsObservedElsewhere(List<ObservedLoad> loads);

}
