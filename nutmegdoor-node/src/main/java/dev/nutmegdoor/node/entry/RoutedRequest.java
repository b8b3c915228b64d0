package dev.nutmegdoor.node.entry;

import dev.nutmegdoor.core.route.RequestMetadata;
import dev.nutmegdoor.core.route.RouteTable;
import dev.nutmegdoor.core.route.ServiceRoute;

/**
 * A request that is forwarded to a replica, with the version of the configuration that
 * determined its route.
 *
 * @param table configuration at the time of routing
 * @param route route of the request
 * @param facts metadata from the request header
 */
public record RoutedRequest(RouteTable table, ServiceRoute route, RequestMetadata facts) {

	/**
	 * Returns whether the request needs a key.
	 * @return {@code false} on public routes and in deployments without workspaces
	 */
	public boolean isKeyRequired() {
		return this.table.isKeyRequired() && !this.route.isPublic();
	}

	/**
	 * Returns the identifier that the client gave to the request.
	 * @return the identifier, or {@code -} if the client sent none
	 */
	public String attemptId() {
		String attemptId = this.facts.attemptId();
		return (attemptId != null) ? attemptId : "-";
	}

	/**
	 * Returns the maximum duration of the request: the deadline set by the client,
	 * limited by the timeout of the route.
	 * @return duration in milliseconds
	 */
	public long timeoutMs() {
		Long deadlineMs = this.facts.deadlineMs();
		return (deadlineMs != null) ? Math.min(deadlineMs, this.route.timeoutMs()) : this.route.timeoutMs();
	}

}
