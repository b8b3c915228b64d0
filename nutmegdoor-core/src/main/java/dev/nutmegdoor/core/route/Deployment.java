package dev.nutmegdoor.core.route;

import java.util.ArrayList;
import java.util.HashMap;
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
 * configuration, the list of replicas and the evacuated zones. Replicas of evacuated
 * zones are published as leaving, so that they receive nothing more on any path. Updated
 * on the control thread, read from any thread.
 */
public final class Deployment implements ConfigurationView {

	private final InvariantRegistry invariants;

	private final EventLog events;

	private final List<Consumer<Configuration>> listeners = new ArrayList<>();

	private volatile Configuration configuration = Configuration.EMPTY;

	private volatile @Nullable RouteTable routes;

	private Map<UpstreamId, Upstream> replicas = Map.of();

	private boolean hasReplicaList;

	private volatile @Nullable EvacuatedZones evacuations = EvacuatedZones.UNCONFIRMED;

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
	 * Declares that requests must not be routed before the evacuated zones are known.
	 */
	public void awaitEvacuations() {
		this.evacuations = null;
	}

	/**
	 * Applies evacuated zones and notifies the listeners. Zones of a revision that is not
	 * higher than the known one are ignored.
	 * @param received zones to apply
	 * @param source where the zones were received from, for the event log
	 */
	public void accept(EvacuatedZones received, String source) {
		EvacuatedZones known = this.evacuations;
		if (known != null && received.revision() <= known.revision()) {
			return;
		}
		this.evacuations = received;
		if (known == null || !known.zones().equals(received.zones())) {
			this.events.record("evacuations.applied", "revision", received.revision(), "zones", received.zones(),
					"before", (known != null) ? known.zones() : List.of(), "source", source);
			publish();
		}
	}

	/**
	 * Returns the evacuated zones if they have been read from the platform's store, by
	 * this instance or another one.
	 * @return the zones, or {@code null} if no instance is known to have read them
	 */
	public @Nullable EvacuatedZones confirmedEvacuations() {
		EvacuatedZones known = this.evacuations;
		return (known != null && known.revision() > 0) ? known : null;
	}

	/**
	 * Returns whether nothing may be sent to a replica because its zone is evacuated.
	 * @param replica replica as it was selected, possibly some time ago
	 * @return {@code true} if its zone is evacuated now
	 */
	public boolean isEvacuated(Upstream replica) {
		EvacuatedZones known = this.evacuations;
		return known != null && known.zones().contains(replica.availabilityZone());
	}

	/**
	 * Returns the replicas as they are listed, regardless of evacuations.
	 * @return replicas that are ready or leaving
	 */
	public List<Upstream> listedReplicas() {
		return List.copyOf(this.replicas.values());
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
	 * @return {@code true} once a configuration and a list of replicas have been
	 * received, and the evacuated zones if they are awaited
	 */
	public boolean isReadyToRoute() {
		return this.routes != null && this.hasReplicaList && this.evacuations != null;
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
				(table != null) ? table.workspaces() : Map.of(), Map.of(), Map.of(), Map.of(), usableReplicas());
		this.listeners.forEach((listener) -> listener.accept(this.configuration));
	}

	private Map<UpstreamId, Upstream> usableReplicas() {
		EvacuatedZones known = this.evacuations;
		if (known == null || known.zones().isEmpty()) {
			return this.replicas;
		}
		Map<UpstreamId, Upstream> usable = new HashMap<>(this.replicas);
		usable.replaceAll(
				(id, replica) -> (isEvacuated(replica) && !replica.isLeaving()) ? replica.asLeaving() : replica);
		return usable;
	}

	/**
	 * Describes the evacuated zones for {@code dump}.
	 * @return the zones with their revision, or that they are not known
	 */
	public String dumpEvacuations() {
		EvacuatedZones known = this.evacuations;
		return (known != null) ? known.zones() + "@" + known.revision() : "awaited";
	}

}
