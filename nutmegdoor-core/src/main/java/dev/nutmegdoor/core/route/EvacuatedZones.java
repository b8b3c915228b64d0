package dev.nutmegdoor.core.route;

import java.util.List;

import dev.nutmegdoor.core.id.AvailabilityZone;

/**
 * Availability zones to whose replicas nothing more is sent, as of one revision of the
 * platform's store. The zones are complete: a zone that a higher revision does not
 * contain serves again.
 *
 * @param revision revision of the store, 0 if the store has not been read
 * @param zones evacuated zones in ascending order
 */
public record EvacuatedZones(long revision, List<AvailabilityZone> zones) {

	/** State of an instance that knows of no evacuation and has not read the store. */
	public static final EvacuatedZones UNCONFIRMED = new EvacuatedZones(0, List.of());

	public EvacuatedZones {
		zones = zones.stream().sorted().distinct().toList();
	}

}
