package dev.nutmegdoor.core.usage;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.route.EvacuatedZones;

/**
 * Evacuated zones that travel with the usage of this instance, for instances that don't
 * reach the platform's store.
 */
public interface EvacuationSharing {

	/** Shares nothing. */
	EvacuationSharing NONE = new EvacuationSharing() {

		@Override
		public @Nullable EvacuatedZones confirmed() {
			return null;
		}

		@Override
		public void receivedFrom(InstanceId from, EvacuatedZones evacuations) {
		}

	};

	/**
	 * Returns the zones that this instance knows.
	 * @return the zones with the revision of the store, or {@code null} if none have been
	 * read from the store by any instance that this one has heard of
	 */
	@Nullable EvacuatedZones confirmed();

	/**
	 * Receives the zones that another instance knows.
	 * @param from the other instance
	 * @param evacuations its zones, of any revision
	 */
	void receivedFrom(InstanceId from, EvacuatedZones evacuations);

}
