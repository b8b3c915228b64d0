package dev.nutmegdoor.core.fake;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.lease.LeaseController;
import dev.nutmegdoor.core.lease.LeaseSettings;
import dev.nutmegdoor.core.limit.LimitController;
import dev.nutmegdoor.core.limit.LimitSettings;
import dev.nutmegdoor.core.membership.DirectoryEntry;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MemberState;
import dev.nutmegdoor.core.membership.MembershipController;
import dev.nutmegdoor.core.membership.MembershipSettings;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Simulated instances in several availability zones that share one store, on virtual
 * time.
 */
public final class FakeFleet {

	private static final long DIRECTORY_PROPAGATION_DELAY_MS = 5000;

	private final UniformRandomProvider random;

	private final VirtualTimerService timer = new VirtualTimerService(1_780_000_000_000L);

	private final FakeObjectStore store;

	private final FakePeerNetwork network;

	private final FakeDirectory directory;

	private final List<AvailabilityZone> zones = new ArrayList<>();

	private final Map<InstanceId, FakeInstance> instances = new LinkedHashMap<>();

	private BiConsumer<InstanceId, Step> stepListener = (instance, step) -> {
	};

	private EventLog eventLog = EventLog.NONE;

	private final InvariantRegistry invariants = new InvariantRegistry();

	private final AdmissionObserver observer = new AdmissionObserver(this.timer);

	private Configuration configuration = Configuration.EMPTY;

	private int startedCount;

	public FakeFleet(long seed, int zoneCount) {
		this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
		this.store = new FakeObjectStore(this.timer, nextRandom(), StoreFaults.NONE);
		this.network = new FakePeerNetwork(nextRandom(), LinkSettings.RELIABLE);
		this.directory = new FakeDirectory(this.timer, DIRECTORY_PROPAGATION_DELAY_MS);
		for (int i = 0; i < zoneCount; i++) {
			this.zones.add(new AvailabilityZone(String.valueOf((char) ('a' + i))));
		}
	}

	/**
	 * Sets the listener for the protocol steps of all instances. To crash an instance at
	 * a step, the listener calls {@link #crash(FakeInstance)} and then throws an
	 * {@code InstanceStoppedException}.
	 * @param stepListener receives the instance and the step
	 */
	public void setStepListener(BiConsumer<InstanceId, Step> stepListener) {
		this.stepListener = stepListener;
	}

	/**
	 * Returns an instance, which may have crashed.
	 * @param id identifier of the instance
	 * @return the instance
	 * @throws IllegalArgumentException if no such instance was ever started
	 */
	public FakeInstance instance(InstanceId id) {
		FakeInstance instance = this.instances.get(id);
		if (instance == null) {
			throw new IllegalArgumentException("no instance " + id);
		}
		return instance;
	}

	public void setEventLog(EventLog eventLog) {
		this.eventLog = eventLog;
	}

	public VirtualTimerService timer() {
		return this.timer;
	}

	public FakeObjectStore store() {
		return this.store;
	}

	public FakePeerNetwork network() {
		return this.network;
	}

	public FakeDirectory directory() {
		return this.directory;
	}

	public List<AvailabilityZone> zones() {
		return List.copyOf(this.zones);
	}

	public InvariantRegistry invariants() {
		return this.invariants;
	}

	public AdmissionObserver observer() {
		return this.observer;
	}

	/**
	 * Applies a configuration to all instances, including those that start later.
	 * @param newConfiguration configuration that replaces the current one
	 */
	public void configure(Configuration newConfiguration) {
		this.configuration = newConfiguration;
		for (Workspace workspace : newConfiguration.workspaces().values()) {
			this.observer.setLimit(workspace.id(), workspace.ratePerSecond(), workspace.burst());
		}
		for (FakeInstance instance : this.instances.values()) {
			instance.host().run(() -> instance.configuration().set(newConfiguration));
		}
	}

	/**
	 * Shuts an instance down gracefully: it leaves the membership, drains, releases its
	 * lease and stops.
	 * @param instance instance to shut down
	 */
	public void drain(FakeInstance instance) {
		instance.host().run(() -> {
			instance.membership().leave();
			instance.limiter()
				.drain()
				.thenCompose((ignored) -> instance.lease().release())
				.thenRun(() -> crash(instance));
		});
	}

	/**
	 * Returns a generator that depends on the seed of the fleet.
	 * @return a new generator with its own seed
	 */
	public UniformRandomProvider nextRandom() {
		return RandomSource.XO_SHI_RO_256_PP.create(this.random.nextLong());
	}

	public List<FakeInstance> instances() {
		return List.copyOf(this.instances.values());
	}

	/**
	 * Returns the running instances.
	 * @return those that neither crashed nor are paused
	 */
	public List<FakeInstance> running() {
		List<FakeInstance> running = new ArrayList<>(this.instances.values());
		running.removeIf((instance) -> !instance.isRunning());
		return running;
	}

	/**
	 * Starts instances, distributed over the zones round-robin.
	 * @param count number of instances
	 */
	public void start(int count) {
		for (int i = 0; i < count; i++) {
			start(this.zones.get(i % this.zones.size()), true);
		}
	}

	/**
	 * Starts an instance.
	 * @param zone zone of the instance
	 * @param isListed whether the instance is visible in the directory immediately
	 * @return the started instance
	 */
	public FakeInstance start(AvailabilityZone zone, boolean isListed) {
		InstanceId id = new InstanceId(String.format("i-%s-%03d", zone, this.startedCount++));
		// Each host has a different clock offset, because nothing may depend on it.
		FakeHost host = new FakeHost(this.timer, id, zone, this.random.nextLong(1_000_000));
		PeerTransport transport = this.network.join(host);
		ObjectStore client = this.store.clientOf(host);
		DirectoryEntry entry = new DirectoryEntry(id, zone, "127.0.0.1", 7000 + this.startedCount, false);
		this.directory.add(entry, isListed);
		Member self = new Member(id, zone, entry.host(), entry.port(), MemberState.LIVE);
		MembershipController membership = new MembershipController(self, host, transport, this.directory.clientOf(host),
				nextRandom(), this.eventLog, MembershipSettings.DEFAULT);
		StepListener listener = (step) -> this.stepListener.accept(id, step);
		LeaseController lease = new LeaseController(host, transport, client, membership, nextRandom(), listener,
				this.eventLog, LeaseSettings.DEFAULT);
		FakeConfigurationView view = new FakeConfigurationView(this.configuration);
		LimitController limiter = new LimitController(host, transport, client, membership, lease, lease, view,
				nextRandom(), this.invariants, listener, this.eventLog, this.observer::admitted, LimitSettings.DEFAULT);
		FakeInstance instance = new FakeInstance(host, membership, lease, limiter, view);
		this.instances.put(id, instance);
		host.run(() -> {
			membership.start(List.of());
			lease.start();
			limiter.start();
		});
		return instance;
	}

	/**
	 * Crashes an instance.
	 * @param instance instance to crash
	 */
	public void crash(FakeInstance instance) {
		instance.host().crash();
		this.directory.remove(instance.id());
	}

	/**
	 * Starts or ends a network partition between a zone and the other zones and the
	 * store.
	 * @param zone zone to partition or to reconnect
	 * @param isPartitioned whether the zone is partitioned
	 */
	public void setCut(AvailabilityZone zone, boolean isPartitioned) {
		for (AvailabilityZone other : this.zones) {
			if (!other.equals(zone)) {
				this.network.setCut(zone, other, isPartitioned);
			}
		}
		this.store.setCut(zone, isPartitioned);
	}

	/**
	 * Advances virtual time.
	 * @param durationMs duration in milliseconds
	 */
	public void advance(long durationMs) {
		this.timer.advance(durationMs);
	}

}
