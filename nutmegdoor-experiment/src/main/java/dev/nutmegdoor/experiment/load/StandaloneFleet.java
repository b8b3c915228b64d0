package dev.nutmegdoor.experiment.load;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.node.StandaloneEntry;
import dev.nutmegdoor.node.settings.EntrySettings;
import dev.nutmegdoor.node.settings.LimitSettings;
import dev.nutmegdoor.node.settings.ListenSettings;
import dev.nutmegdoor.node.settings.TimeoutSettings;

/**
 * Instances that share nothing: each has a fixed part of every rate and its own programs.
 */
public final class StandaloneFleet implements Fleet {

	private final List<Instance> instances = new ArrayList<>();

	private final Set<InstanceId> stopped = ConcurrentHashMap.newKeySet();

	/**
	 * Starts the instances.
	 * @param configuration configuration of the deployment
	 * @param zones zones of the instances
	 * @param instancesPerZone number of instances of each zone
	 */
	public StandaloneFleet(Configuration configuration, List<AvailabilityZone> zones, int instancesPerZone) {
		int count = zones.size() * instancesPerZone;
		for (AvailabilityZone zone : zones) {
			for (int i = 1; i <= instancesPerZone; i++) {
				InstanceId id = new InstanceId("entry-" + zone + "-" + i);
				EntrySettings settings = new EntrySettings(id, zone, new ListenSettings("127.0.0.1", 0),
						new LimitSettings(2 << 20, 16 << 10, 4 << 20, 1 << 20, 20_000),
						new TimeoutSettings(60_000, 10_000, 60_000, 500, 60_000, 1_000), 256, count, configuration,
						null);
				InvariantRegistry invariants = new InvariantRegistry();
				StandaloneEntry entry = StandaloneEntry.create(settings, count, invariants, EventLog.NONE);
				this.instances.add(new Instance(id, entry, invariants, entry.node().start()));
			}
		}
	}

	@Override
	public List<FleetInstance> instances() {
		return List.copyOf(this.instances);
	}

	@Override
	public void apply(Configuration configuration) {
		for (Instance instance : this.instances) {
			instance.entry.timers().execute(() -> instance.entry.configuration().replace(configuration));
		}
	}

	@Override
	public void withdraw(KeyId key) {
		this.instances.forEach((instance) -> instance.entry.authenticator().withdraw(key));
	}

	@Override
	public boolean isProgramPinned() {
		return true;
	}

	@Override
	public List<InvariantRegistry> invariants() {
		return this.instances.stream().map((instance) -> instance.invariants).toList();
	}

	@Override
	public void close() {
		this.instances.forEach(Instance::kill);
	}

	private final class Instance implements FleetInstance {

		private final InstanceId id;

		private final StandaloneEntry entry;

		private final InvariantRegistry invariants;

		private final InetSocketAddress address;

		private Instance(InstanceId id, StandaloneEntry entry, InvariantRegistry invariants,
				InetSocketAddress address) {
			this.id = id;
			this.entry = entry;
			this.invariants = invariants;
			this.address = address;
		}

		@Override
		public InstanceId id() {
			return this.id;
		}

		@Override
		public InetSocketAddress address() {
			return this.address;
		}

		@Override
		public boolean drain() throws InterruptedException {
			return !StandaloneFleet.this.stopped.add(this.id) || this.entry.node().drain();
		}

		@Override
		public void kill() {
			if (StandaloneFleet.this.stopped.add(this.id)) {
				this.entry.node().stop();
			}
		}

	}

}
