package dev.nutmegdoor.experiment.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.FakePeerNetwork;
import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.program.PartitionRecord;
import dev.nutmegdoor.core.program.ProgramSettings;
import dev.nutmegdoor.core.program.Safeguards;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Nine instances in three zones with their store, links and upstreams on virtual time.
 */
public final class SimCluster {

	private static final int INSTANCES_PER_ZONE = 3;

	private static final long WALL_CLOCK_ORIGIN_MS = 1_700_000_000_000L;

	private static final long FENCED_STOP_MS = 10_000;

	private static final long SKEW_MS = 20_000;

	private final VirtualTimerService timer = new VirtualTimerService(WALL_CLOCK_ORIGIN_MS);

	private final EventTrace trace = new EventTrace(this.timer);

	private final InvariantObserver observer = new InvariantObserver(new InvariantRegistry(), this.trace, this.timer);

	private final List<AvailabilityZone> zones = List.of(new AvailabilityZone("a"), new AvailabilityZone("b"),
			new AvailabilityZone("c"));

	private final SimConfiguration configuration = new SimConfiguration(this.zones);

	private final ProgramSettings programSettings = new ProgramSettings(2, this.zones, 500, 5_000, 300, 2_000, 100,
			2_000, 5_000, 60_000, 1_000, 3_600_000, 2, 5_000);

	private final UniformRandomProvider random;

	private final FakeObjectStore store;

	private final FakePeerNetwork peers;

	private final SimNetwork network;

	private final SimEngines engines;

	private final SimServices services;

	private final Safeguards safeguards;

	private final boolean isClockSkewed;

	private final Set<InstanceId> leaving = new HashSet<>();

	private final List<SimInstance> instances = new ArrayList<>();

	private Consumer<SimInstance> arming = (instance) -> {
	};

	private int restarts;

	public SimCluster(long seed, Safeguards safeguards, boolean isClockSkewed) {
		this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
		this.safeguards = safeguards;
		this.isClockSkewed = isClockSkewed;
		this.store = new FakeObjectStore(this.timer, split(), StoreFaults.NONE);
		this.peers = new FakePeerNetwork(split(), LinkSettings.RELIABLE);
		this.network = new SimNetwork(this.peers, this.store, this.zones);
		this.engines = new SimEngines(this.timer, split(), this.observer);
		this.services = new SimServices(this.timer, split(), this.observer);
		for (AvailabilityZone zone : this.zones) {
			for (int i = 0; i < INSTANCES_PER_ZONE; i++) {
				start("i-" + zone + i, zone);
			}
		}
	}

	private UniformRandomProvider split() {
		return RandomSource.XO_SHI_RO_256_PP.create(this.random.nextLong());
	}

	private SimInstance start(String id, AvailabilityZone zone) {
		long offsetMs = this.isClockSkewed ? this.random.nextLong(2 * SKEW_MS) : SKEW_MS;
		FakeHost host = new FakeHost(this.timer, new InstanceId(id), zone, offsetMs);
		this.network.add(host);
		SimInstance instance = new SimInstance(this, host, split(), this.safeguards);
		this.instances.add(instance);
		this.arming.accept(instance);
		this.trace.add(id + " started");
		return instance;
	}

	/**
	 * Starts a new process in place of one that has ended.
	 * @param ended the ended process
	 */
	void restart(SimInstance ended) {
		this.instances.remove(ended);
		start(ended.host().id().value().replaceAll("-r\\d+$", "") + "-r" + ++this.restarts,
				ended.host().availabilityZone());
	}

	/**
	 * Returns whether the loss of an instance stays within the promised durability.
	 * Instances of a zone that is cut off hold what was acknowledged there without a copy
	 * elsewhere, and witness each other's leases; their loss is not covered.
	 * @param lost instance to be lost
	 * @return whether every acknowledged entry survives
	 */
	boolean isLossCovered(SimInstance lost) {
		return !this.network.isZoneCut(lost.host().availabilityZone()) && isCovered((other) -> other == lost);
	}

	/**
	 * Returns whether a zone may be cut off: its instances are healthy, and everything
	 * acknowledged so far has a copy elsewhere.
	 * @param zone the zone
	 * @return whether the cut stays within the promised durability
	 */
	boolean isCutCovered(AvailabilityZone zone) {
		boolean isHealthy = this.instances.stream()
			.filter((instance) -> instance.host().availabilityZone().equals(zone))
			.allMatch(SimInstance::isHealthy);
		return isHealthy && isCovered((other) -> other.host().availabilityZone().equals(zone));
	}

	private boolean isCovered(Predicate<SimInstance> isLost) {
		for (Map.Entry<ProgramId, Integer> head : this.observer.acknowledgedHeads().entrySet()) {
			ProgramId program = head.getKey();
			StoredObject object = this.store.peek(PartitionRecord.KIND, program.partitionName());
			if (object == null) {
				continue;
			}
			PartitionRecord record = PartitionRecord.parse(object.value());
			Long hash = this.observer.acknowledgedHash(program, head.getValue());
			boolean isHeld = this.instances.stream()
				.filter((other) -> !isLost.test(other) && other.isRunning() && !other.isArmed())
				.anyMatch((other) -> hash != null && other.homes().holds(program, head.getValue(), hash, record));
			if (!isHeld) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Replaces an instance whose lease was fenced: it leaves, so that others take over
	 * its copies, and is started again, because a fenced process never owns anything
	 * again.
	 * @param fenced the instance
	 */
	void replaceFenced(SimInstance fenced) {
		fenced.drain();
		stopLater(fenced, FENCED_STOP_MS);
	}

	/**
	 * Stops an instance and starts it again once nothing is lost by that.
	 * @param instance the instance
	 * @param delayMs time until then at least
	 */
	void stopLater(SimInstance instance, long delayMs) {
		this.timer.schedule(delayMs, () -> {
			if (instance.isRunning() && !isLossCovered(instance)) {
				stopLater(instance, 1_000);
				return;
			}
			this.leaving.remove(instance.host().id());
			if (!instance.host().isCrashed()) {
				this.trace.add(instance.host().id() + " stops");
				instance.host().crash();
				restart(instance);
			}
		});
	}

	List<SimInstance> running() {
		return this.instances.stream().filter(SimInstance::isRunning).toList();
	}

	List<SimInstance> instances() {
		return this.instances;
	}

	SimInstance anyRunning(UniformRandomProvider choice) {
		List<SimInstance> running = running();
		return running.isEmpty() ? this.instances.get(0) : running.get(choice.nextInt(running.size()));
	}

	public VirtualTimerService timer() {
		return this.timer;
	}

	EventTrace trace() {
		return this.trace;
	}

	InvariantObserver observer() {
		return this.observer;
	}

	List<AvailabilityZone> zones() {
		return this.zones;
	}

	SimConfiguration configuration() {
		return this.configuration;
	}

	ProgramSettings programSettings() {
		return this.programSettings;
	}

	FakeObjectStore store() {
		return this.store;
	}

	FakePeerNetwork peers() {
		return this.peers;
	}

	SimNetwork network() {
		return this.network;
	}

	SimEngines engines() {
		return this.engines;
	}

	SimServices services() {
		return this.services;
	}

	Set<InstanceId> leaving() {
		return this.leaving;
	}

	/**
	 * Ends all faults.
	 */
	public void heal() {
		this.trace.add("all faults are healed");
		this.peers.setSettings(LinkSettings.RELIABLE);
		this.store.setFaults(StoreFaults.NONE);
		this.network.setStoreUp(true);
		for (AvailabilityZone zone : this.zones) {
			this.network.setZoneCut(zone, false);
		}
		this.engines.setFaults(UpstreamFaults.NONE);
		this.services.setFaults(UpstreamFaults.NONE);
		for (SimInstance instance : this.instances) {
			instance.disarm();
			instance.leaseBlock().set(0);
			if (instance.host().isPaused() && !instance.host().isCrashed()) {
				instance.host().resume();
			}
		}
	}

	public List<String> violations() {
		return this.observer.invariants().violations();
	}

	/**
	 * Causes a fault at the first instance that reaches a step, started later or not.
	 * @param step the step
	 * @param action the fault
	 */
	public void armAll(Step step, Consumer<SimInstance> action) {
		this.arming = (instance) -> instance.arm(step, () -> action.accept(instance));
		this.instances.forEach(this.arming);
	}

	public void disarmAll() {
		this.arming = (instance) -> {
		};
		this.instances.forEach(SimInstance::disarm);
	}

	public void restartLater(SimInstance instance, long delayMs) {
		this.timer.schedule(delayMs, () -> restart(instance));
	}

	/**
	 * Ends an instance right after its current callback.
	 * @param instance the instance
	 * @param restartMs time until it is started again
	 */
	public void crashSoon(SimInstance instance, long restartMs) {
		this.timer.schedule(0, () -> {
			if (!instance.host().isCrashed()) {
				instance.host().crash();
				restartLater(instance, restartMs);
			}
		});
	}

	public void pause(SimInstance instance, long durationMs) {
		instance.host().pause();
		this.timer.schedule(durationMs, instance.host()::resume);
	}

	public void setLinks(LinkSettings settings, long durationMs) {
		this.peers.setSettings(settings);
		this.timer.schedule(durationMs, () -> this.peers.setSettings(LinkSettings.RELIABLE));
	}

	public void setStore(StoreFaults faults, long durationMs) {
		this.store.setFaults(faults);
		this.timer.schedule(durationMs, () -> this.store.setFaults(StoreFaults.NONE));
	}

	public void setStoreOut(long durationMs) {
		this.network.setStoreUp(false);
		this.timer.schedule(durationMs, () -> this.network.setStoreUp(true));
	}

	public void cutZone(SimInstance instance, long durationMs) {
		AvailabilityZone zone = instance.host().availabilityZone();
		this.network.setZoneCut(zone, true);
		this.timer.schedule(durationMs, () -> this.network.setZoneCut(zone, false));
	}

	private SimInstance pickOwner() {
		return running().stream()
			.filter((instance) -> !instance.homes().openPartitions().isEmpty())
			.findFirst()
			.orElseThrow(() -> new IllegalStateException("no partition is served"));
	}

	public void crashOwner() {
		crashSoon(pickOwner(), 5_000);
	}

	public void drainOwner() {
		SimInstance owner = pickOwner();
		owner.host().run(owner::drain);
	}

	public void changeConfiguration() {
		SimInstance instance = this.instances.get(0);
		instance.host().run(() -> instance.operations().change("operator", 7));
	}

	public void withdrawKey() {
		SimInstance instance = this.instances.get(0);
		instance.host().run(() -> instance.operations().withdraw("withdrawn"));
	}

}
