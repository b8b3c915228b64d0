package dev.nutmegdoor.core.route;

/**
 * A service that routes lead to.
 *
 * @param name name of the service
 * @param maxConnections connections that a replica accepts from all callers together
 * @param tokensPerEvent tokens that one event of a stream stands for; 0 for a service
 * that is no model engine
 */
public record RoutedService(String name, int maxConnections, int tokensPerEvent) {

}
