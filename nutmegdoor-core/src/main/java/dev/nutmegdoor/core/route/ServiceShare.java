package dev.nutmegdoor.core.route;

/**
 * A service with its share of a route's requests.
 *
 * @param service name of the service
 * @param weight share, relative to the sum of the route's weights
 */
public record ServiceShare(String service, int weight) {

}
