package dev.nutmegdoor.experiment.load;

import java.util.List;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.id.AvailabilityZone;

/**
 * Starts the instances of a demonstration.
 */
@FunctionalInterface
public interface FleetFactory {

	/**
	 * Starts a fleet.
	 * @param configuration configuration of the deployment
	 * @param zones zones of the instances
	 * @param instancesPerZone number of instances of each zone
	 * @return the fleet, ready for callers
	 */
	Fleet start(Configuration configuration, List<AvailabilityZone> zones, int instancesPerZone);

}
