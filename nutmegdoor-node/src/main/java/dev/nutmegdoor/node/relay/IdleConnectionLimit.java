package dev.nutmegdoor.node.relay;

import java.util.function.IntSupplier;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.route.Deployment;
import dev.nutmegdoor.core.route.RouteTable;
import dev.nutmegdoor.core.route.RoutedService;

/**
 * Determines how many idle connections an instance keeps to a replica. A replica accepts
 * a limited number of connections from all clients and resets those beyond the limit, so
 * the idle connections of all instances together must leave most of the limit to
 * requests.
 */
final class IdleConnectionLimit {

	/**
	 * Maximum number of idle connections to a replica; an instance does not use more at
	 * the same time because of the concurrency limits of the replicas.
	 */
	static final int MAX_PER_REPLICA = 8;

	/**
	 * Divisor of the connection limit of a replica that gives the number of connections
	 * that all instances together may keep idle.
	 */
	private static final int IDLE_SHARE_DIVISOR = 2;

	private final Deployment deployment;

	private final IntSupplier instanceCount;

	/**
	 * Creates the limit.
	 * @param deployment supplies the connection limits of the services
	 * @param instanceCount supplies the number of entry instances; called from any thread
	 */
	IdleConnectionLimit(Deployment deployment, IntSupplier instanceCount) {
		this.deployment = deployment;
		this.instanceCount = instanceCount;
	}

	/**
	 * Returns the maximum number of idle connections to a replica.
	 * @param replica replica that the connections lead to
	 * @return at least 1, at most {@link #MAX_PER_REPLICA}
	 */
	int limitFor(Upstream replica) {
		RouteTable routes = this.deployment.routes();
		RoutedService service = (routes != null && !replica.serves().isEmpty())
				? routes.service(replica.serves().get(0)) : null;
		if (service == null) {
			return MAX_PER_REPLICA;
		}
		int sharePerInstance = service.maxConnections()
				/ (IDLE_SHARE_DIVISOR * Math.max(1, this.instanceCount.getAsInt()));
		return Math.max(1, Math.min(MAX_PER_REPLICA, sharePerInstance));
	}

}
