package dev.nutmegdoor.core.route;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.placement.ColdStart;

/**
 * A service to which routes send requests.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that a replica accepts from all
 * callers together
 * @param tokensPerEvent number of tokens that one event of a stream represents; 0 for a
 * service that is not a model engine
 * @param coldStart how replicas behave while they are cold, or {@code null} if they never
 * are
 */
public record RoutedService(String name, int maxConnections, int tokensPerEvent, @Nullable ColdStart coldStart) {

	public RoutedService(String name, int maxConnections, int tokensPerEvent) {
		this(name, maxConnections, tokensPerEvent, null);
	}

}
