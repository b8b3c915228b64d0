package dev.nutmegdoor.node.relay;

import java.util.function.IntSupplier;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.route.Deployment;
import dev.nutmegdoor.core.route.RouteTable;
import dev.nutmegdoor.core.route.RoutedService;

/**
 * Decides how many idle connections an instance keeps to a replica. A replica accepts a
 * limited number of connections from all callers and resets those beyond it, so what all
 * instances keep idle together must leave most of them to requests.
 */
final class IdleConnectionLimit {

	/** More than this an instance does not use at once, by the places of the replicas. */
	static final int MAX_PER_REPLICA = 8;

	/**
	 * Part of a replica's connections that all instances together keep idle, as divisor.
	 */
	private static final int IDLE_SHARE_DIVISOR = 2;

	private final Deployment deployment;

	private final IntSupplier instanceCount;

	/**
	 * Creates the rule.
	 * @param deployment services with the connections that their replicas accept
	 * @param instanceCount number of entry instances; called from any thread
	 */
	IdleConnectionLimit(Deployment deployment, IntSupplier instanceCount) {
		this.deployment = deployment;
		this.instanceCount = instanceCount;
	}

	/**
	 * Returns the number of idle connections to keep.
	 * @param replica the replica
	 * @return at least one
	 */
	int limitFor(Upstream replica) {
		RouteTable routes = this.deployment.routes();
		RoutedService service = (routes != null && !replica.serves().isEmpty())
				? routes.service(replica.serves().get(0)) : null;
		if (service == null) {
			return MAX_PER_REPLICA;
		}
		int sharePerInstance = service.maxConnections() / (IDLE_SHARE_DIVISOR * Math.max(1, this.instanceCount.getAsInt()));
		return Math.max(1, Math.min(MAX_PER_REPLICA, sharePerInstance));
	}

}
