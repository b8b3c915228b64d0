package dev.nutmegdoor.experiment.load;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.node.cluster.ClusterEntry;
import dev.nutmegdoor.node.peer.PeerTransportSettings;
import dev.nutmegdoor.node.settings.ClusterSettings;
import dev.nutmegdoor.node.settings.EntrySettings;
import dev.nutmegdoor.node.settings.LimitSettings;
import dev.nutmegdoor.node.settings.ListenSettings;
import dev.nutmegdoor.node.settings.TimeoutSettings;
import dev.nutmegdoor.platform.PlatformEndpoint;
import dev.nutmegdoor.standin.platform.PlatformStandin;
import dev.nutmegdoor.standin.platform.PlatformStandinSettings;

/**
 * Instances that work together over a stand-in of the platform.
 */
public final class ClusterFleet implements Fleet {

	private static final ListenSettings ANY_PORT = new ListenSettings("127.0.0.1", 0);

	/** Few, so that the instances own all partitions soon after their start. */
	private static final int PARTITIONS_PER_ZONE = 12;

	private static final long OPERATION_TIMEOUT_MS = 10_000;

	private final EventLog events;

	private final PlatformStandin platform;

	private final List<Instance> instances = new ArrayList<>();

	private final Set<InstanceId> stopped = ConcurrentHashMap.newKeySet();

	/**
	 * Starts the platform and the instances and waits until all serve the configuration.
	 * @param configuration configuration of the deployment
	 * @param zones zones of the instances
	 * @param instancesPerZone number of instances of each zone
	 * @param events receives the events of all instances
	 */
	public ClusterFleet(Configuration configuration, List<AvailabilityZone> zones, int instancesPerZone,
			EventLog events) {
		this.events = events;
		this.platform = PlatformStandin.start(PlatformStandinSettings.DEFAULT);
		for (int i = 1; i <= instancesPerZone; i++) {
			for (AvailabilityZone zone : zones) {
				this.instances.add(new Instance(new InstanceId("entry-" + zone + "-" + i), zone, zones, configuration));
			}
		}
		List<CompletableFuture<Void>> started = this.instances.stream()
			.map((instance) -> CompletableFuture.runAsync(instance::start))
			.toList();
		started.forEach(CompletableFuture::join);
		awaitHomes(zones);
	}

	@Override
	public List<FleetInstance> instances() {
		return List.copyOf(this.instances);
	}

	@Override
	public void apply(Configuration configuration) {
		await(running().entry.apply(configuration, "demo"));
	}

	@Override
	public void withdraw(KeyId key) {
		await(running().entry.withdraw(key, "demo"));
	}

	@Override
	public boolean isProgramPinned() {
		return false;
	}

	@Override
	public List<InvariantRegistry> invariants() {
		return this.instances.stream().map((instance) -> instance.invariants).toList();
	}

	@Override
	public void close() {
		this.instances.forEach(Instance::kill);
		this.platform.close();
	}

	private Instance running() {
		return this.instances.stream()
			.filter((instance) -> !this.stopped.contains(instance.id))
			.findFirst()
			.orElseThrow(() -> new IllegalStateException("no instance runs"));
	}

	private void awaitHomes(List<AvailabilityZone> zones) {
		for (Instance instance : this.instances) {
			await(instance.entry.awaitHomes(zones.size(), OPERATION_TIMEOUT_MS * 3));
		}
	}

	private static <T> T await(CompletableFuture<T> future) {
		return future.orTimeout(OPERATION_TIMEOUT_MS * 4, TimeUnit.MILLISECONDS).join();
	}

	private final class Instance implements FleetInstance {

		private final InstanceId id;

		private final ClusterEntry entry;

		private final InvariantRegistry invariants = new InvariantRegistry();

		private Instance(InstanceId id, AvailabilityZone zone, List<AvailabilityZone> zones,
				Configuration configuration) {
			this.id = id;
			InetSocketAddress address = ClusterFleet.this.platform.address();
			ClusterSettings cluster = new ClusterSettings(
					new PlatformEndpoint("127.0.0.1", address.getPort(), 1_000, 2_000), zones, PARTITIONS_PER_ZONE,
					new PeerTransportSettings("127.0.0.1", 0, "demo", PeerTransportSettings.DEFAULT_MAX_QUEUED_FRAMES,
							PeerTransportSettings.DEFAULT_CONNECT_TIMEOUT_MS),
					ANY_PORT, List.of(), 16 << 20, 250, null);
			EntrySettings settings = new EntrySettings(id, zone, ANY_PORT,
					new LimitSettings(2 << 20, 16 << 10, 4 << 20, 1 << 20, 20_000),
					new TimeoutSettings(60_000, 10_000, 60_000, 500, 60_000, 1_000), 256, 1, configuration, cluster);
			this.entry = new ClusterEntry(settings, cluster, this.invariants, ClusterFleet.this.events, () -> {
			});
		}

		private void start() {
			try {
				this.entry.start();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IllegalStateException("interrupted while instance " + this.id + " started", ex);
			}
		}

		@Override
		public InstanceId id() {
			return this.id;
		}

		@Override
		public InetSocketAddress address() {
			return this.entry.address();
		}

		@Override
		public boolean drain() throws InterruptedException {
			return !ClusterFleet.this.stopped.add(this.id) || this.entry.drain();
		}

		@Override
		public void kill() {
			if (ClusterFleet.this.stopped.add(this.id)) {
				this.entry.node().stop();
			}
		}

	}

}
