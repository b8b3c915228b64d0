package dev.nutmegdoor.core.route;

/**
 * A service to which routes send requests.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that a replica accepts from all
 * callers together
 * @param tokensPerEvent number of tokens that one event of a stream represents; 0 for a
 * service that is not a model engine
 */
public record RoutedService(String name, int maxConnections, int tokensPerEvent) {

}
