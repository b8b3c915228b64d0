package dev.nutmegdoor.core.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * Holds the state of the deployment as this process has received it: the newest
 * configuration and the list of replicas. Updated on the control thread, read from any
 * thread.
 */
public final class Deployment implements ConfigurationView {

	private final InvariantRegistry invariants;

	private final EventLog events;

	private final List<Consumer<Configuration>> listeners = new ArrayList<>();

	private volatile Configuration configuration = Configuration.EMPTY;

	private volatile @Nullable RouteTable routes;

	private Map<UpstreamId, Upstream> replicas = Map.of();

	private boolean hasReplicaList;

	public Deployment(InvariantRegistry invariants, EventLog events) {
		this.invariants = invariants;
		this.events = events;
	}

	/**
	 * Applies a version of the configuration and notifies the listeners. A version that
	 * is not newer than the active one is ignored.
	 * @param table version to apply
	 * @param source where the version was received from, for the event log
	 */
	public void accept(RouteTable table, String source) {
		RouteTable current = this.routes;
		if (current != null && table.version() <= current.version()) {
			return;
		}
		long previousVersion = (current != null) ? current.version() : 0;
		this.invariants.check(Invariant.CONFIGURATION_MONOTONIC, table.version() > previousVersion,
				() -> "version " + table.version() + " after " + previousVersion);
		this.routes = table;
		this.events.record("configuration.applied", "version", table.version(), "before", previousVersion, "routes",
				table.routes(), "source", source);
		publish();
	}

	/**
	 * Replaces the list of replicas and notifies the listeners. A list without a change
	 * is ignored: each replica renews its entry about once a second, and the listeners
	 * rebuild their pools.
	 * @param upstreams all replicas that are ready or leaving
	 */
	public void accept(Map<UpstreamId, Upstream> upstreams) {
		if (this.hasReplicaList && this.replicas.equals(upstreams)) {
			return;
		}
		this.replicas = Map.copyOf(upstreams);
		this.hasReplicaList = true;
		publish();
	}

	/**
	 * Returns the active version of the configuration.
	 * @return the routes, or {@code null} if no configuration has been received yet
	 */
	public @Nullable RouteTable routes() {
		return this.routes;
	}

	/**
	 * Returns the limits of client requests.
	 * @return the configured limits, or {@link RequestLimits#DEFAULT} while no
	 * configuration has been received
	 */
	public RequestLimits limits() {
		RouteTable table = this.routes;
		return (table != null) ? table.limits() : RequestLimits.DEFAULT;
	}

	/**
	 * Returns whether requests can be routed.
	 * @return {@code true} once a configuration and a list of replicas have been received
	 */
	public boolean isReadyToRoute() {
		return this.routes != null && this.hasReplicaList;
	}

	@Override
	public Configuration current() {
		return this.configuration;
	}

	@Override
	public void subscribe(Consumer<Configuration> listener) {
		this.listeners.add(listener);
	}

	private void publish() {
		RouteTable table = this.routes;
		this.configuration = new Configuration((table != null) ? table.version() : 0,
				(table != null) ? table.workspaces() : Map.of(), Map.of(), Map.of(), Map.of(), this.replicas);
		this.listeners.forEach((listener) -> listener.accept(this.configuration));
	}

}
