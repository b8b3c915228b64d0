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
final class IdleConnections {

	/** More than this an instance does not use at once, by the places of the replicas. */
	static final int MAX_PER_REPLICA = 8;

	/**
	 * Part of a replica's connections that all instances together keep idle, as divisor.
	 */
	private static final int IDLE_DIVISOR = 2;

	private final Deployment deployment;

	private final IntSupplier instances;

	/**
	 * Creates the rule.
	 * @param deployment services with the connections that their replicas accept
	 * @param instances number of entry instances; called from any thread
	 */
	IdleConnections(Deployment deployment, IntSupplier instances) {
		this.deployment = deployment;
		this.instances = instances;
	}

	/**
	 * Returns the number of idle connections to keep.
	 * @param replica the replica
	 * @return at least one
	 */
	int maxTo(Upstream replica) {
		RouteTable routes = this.deployment.routes();
		RoutedService service = (routes != null && !replica.serves().isEmpty())
				? routes.service(replica.serves().get(0)) : null;
		if (service == null) {
			return MAX_PER_REPLICA;
		}
		int share = service.maxConnections() / (IDLE_DIVISOR * Math.max(1, this.instances.getAsInt()));
		return Math.max(1, Math.min(MAX_PER_REPLICA, share));
	}

}
