package dev.nutmegdoor.core.placement;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Load of a replica as an instance has read it from a response.
 *
 * @param replica the replica
 * @param calls number of running and waiting calls of all instances
 * @param ageMs time since the measurement in milliseconds
 * @param requestsPerSecond rate that the replica has declared for all instances, 0 if it
 * has declared none; {@code null} from an instance of an older version
 */
public record ObservedLoad(UpstreamId replica, int calls, long ageMs, @Nullable Double requestsPerSecond) {

}
