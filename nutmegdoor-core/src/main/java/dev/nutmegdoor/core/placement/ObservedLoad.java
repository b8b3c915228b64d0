package dev.nutmegdoor.core.placement;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Load of a replica as an instance has read it from a response.
 *
 * @param replica the replica
 * @param calls number of running and waiting calls of all instances
 * @param ageMs time since the measurement in milliseconds
 */
public record ObservedLoad(UpstreamId replica, int calls, long ageMs) {

}
