package dev.nutmegdoor.node.entry;

import dev.nutmegdoor.core.route.RequestMetadata;
import dev.nutmegdoor.core.route.RouteTable;
import dev.nutmegdoor.core.route.ServiceRoute;

/**
 * A request that is passed on to a replica, with the version of the configuration that
 * decided its route.
 *
 * @param table configuration at the time of routing
 * @param route route of the request
 * @param facts what its header says
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
	 * Returns the client's identifier of the request.
	 * @return the identifier, {@code -} if the client sent none
	 */
	public String attemptId() {
		String attemptId = this.facts.attemptId();
		return (attemptId != null) ? attemptId : "-";
	}

	/**
	 * Returns the time that the request may take: what the client waits, at most what the
	 * operator allows.
	 * @return milliseconds
	 */
	public long timeoutMs() {
		Long deadlineMs = this.facts.deadlineMs();
		return (deadlineMs != null) ? Math.min(deadlineMs, this.route.timeoutMs()) : this.route.timeoutMs();
	}

}
