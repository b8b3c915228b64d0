package dev.nutmegdoor.core.route;

/**
 * The share of a route's requests that is sent to a service.
 *
 * @param service name of the service
 * @param weight share relative to the sum of the weights of the route; a negative weight
 * is treated as 0
 */
public record ServiceShare(String service, int weight) {

}
