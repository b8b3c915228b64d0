package dev.nutmegdoor.core.usage;

import dev.nutmegdoor.core.id.AvailabilityZone;

/**
 * This instance as others reach it.
 *
 * @param incarnation identifies this run of the instance
 * @param zone zone of the instance
 * @param host IP number
 * @param port port for messages
 */
public record LocalUsageEndpoint(String incarnation, AvailabilityZone zone, String host, int port) {

}
