package dev.nutmegdoor.core.usage;

import dev.nutmegdoor.core.id.AvailabilityZone;

/**
 * Describes this instance in the usage reports that it sends to the others.
 *
 * @param incarnation identifies this run of the instance; differs after each restart
 * @param zone availability zone of the instance
 * @param host IP address for peer messages
 * @param port port for peer messages
 */
public record LocalUsageEndpoint(String incarnation, AvailabilityZone zone, String host, int port) {

}
