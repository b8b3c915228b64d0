package dev.nutmegdoor.core.watch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.FakePeerNetwork;
import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Simulated instances in three zones that share their watches, on virtual time. Values of
 * objects are numbers that increase, so that a step back is noticed.
 */
final class WatchedFleet {

	static final List<String> ZONES = List.of("a", "b", "c");

	static final String REPLICAS = "replicas";

	static final String CONFIGURATION = "configuration";

	final VirtualTimerService timer = new VirtualTimerService(0);

	final UniformRandomProvider random;

	final FakeObjectStore store;

	final FakePeerNetwork network;

	final Map<String, WatchedInstance> instances = new LinkedHashMap<>();

	private final ObjectStore writer;

	private long lastValue;

	WatchedFleet(long seed) {
		this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
		this.store = new FakeObjectStore(this.timer, RandomSource.XO_SHI_RO_256_PP.create(seed + 1),
				new StoreFaults(1, 2, 0, Integer.MAX_VALUE));
		this.network = new FakePeerNetwork(RandomSource.XO_SHI_RO_256_PP.create(seed + 2), LinkSettings.RELIABLE);
		this.writer = this.store
			.clientOf(new FakeHost(this.timer, new InstanceId("writer"), new AvailabilityZone("writer"), 0));
	}

	/** Adds an instance that nobody knows yet. */
	WatchedInstance add(int number, boolean isSharing) {
		String name = "i-" + (100 + number);
		WatchedInstance instance = new WatchedInstance(this, number, name, ZONES.get(number % ZONES.size()), isSharing);
		this.instances.put(name, instance);
		instance.start();
		return instance;
	}

	/** Starts instances that know each other. */
	void start(int count) {
		for (int i = 0; i < count; i++) {
			add(this.instances.size(), true);
		}
		introduceAll();
	}

	void introduceAll() {
		for (WatchedInstance instance : this.instances.values()) {
			this.instances.values().forEach(instance::learn);
		}
	}

	WatchedInstance instance(int number) {
		WatchedInstance instance = this.instances.get("i-" + (100 + number));
		if (instance == null) {
			throw new IllegalArgumentException("no instance " + number);
		}
		return instance;
	}

	/** Kills an instance and starts a new process under the same identifier. */
	WatchedInstance restart(int number) {
		instance(number).host().crash();
		WatchedInstance restarted = add(number, true);
		introduceAll();
		return restarted;
	}

	/** Starts or ends that calls of some instances to the store get no answer. */
	void setUnanswered(List<Integer> numbers, boolean isUnanswered) {
		numbers.forEach((number) -> this.store.setUnanswered(instance(number).id(), isUnanswered));
	}

	/** Starts or ends that the store rejects the calls of some instances. */
	void setRejected(List<Integer> numbers, boolean isRejected) {
		numbers.forEach((number) -> this.store.setRejected(instance(number).id(), isRejected));
	}

	/** Sets the additional delay of the messages that an instance sends or receives. */
	void setAdditionalDelay(int number, long delayMs) {
		this.network.setAdditionalDelay(instance(number).id(), delayMs);
	}

	String put(String kind, String name) {
		String value = String.valueOf(++this.lastValue);
		put(kind, name, value);
		return value;
	}

	void put(String kind, String name, String value) {
		StoredObject existing = this.store.peek(kind, name);
		if (existing == null) {
			this.writer.create(kind, name, value);
		}
		else {
			this.writer.update(kind, name, existing.version(), value);
		}
		advance(6);
	}

	void delete(String kind, String name) {
		StoredObject existing = this.store.peek(kind, name);
		if (existing != null) {
			this.writer.delete(kind, name, existing.version());
			advance(6);
		}
	}

	void advance(long durationMs) {
		this.timer.advance(durationMs);
	}

	List<WatchedInstance> running() {
		return this.instances.values().stream().filter((instance) -> !instance.host().isCrashed()).toList();
	}

	/** Returns the instances that don't have the value of the store. */
	List<String> outdated(String kind, String name) {
		StoredObject stored = this.store.peek(kind, name);
		String expected = (stored != null) ? stored.value() : null;
		List<String> outdated = new ArrayList<>();
		for (WatchedInstance instance : running()) {
			if (!Objects.equals(instance.value(kind, name), expected)) {
				outdated.add(instance + " has " + instance.value(kind, name) + " instead of " + expected + ": "
						+ instance.sharing().dump());
			}
		}
		return outdated;
	}

	long watchesOf(long durationMs) {
		long before = this.store.calls("watch");
		advance(durationMs);
		return this.store.calls("watch") - before;
	}

	long count(WatchRole role) {
		return running().stream().filter((instance) -> instance.sharing().role() == role).count();
	}

}
