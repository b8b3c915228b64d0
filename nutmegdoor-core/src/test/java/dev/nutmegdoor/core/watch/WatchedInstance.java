package dev.nutmegdoor.core.watch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.DirectoryEntry;
import dev.nutmegdoor.core.store.KindListener;
import dev.nutmegdoor.core.store.ListWatcher;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StoreHealth;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.store.WatchSharing;

/**
 * Simulated instance with two shared lists.
 */
final class WatchedInstance {

	static final long WATCH_MS = 10_000;

	private static final long BOUND_MS = 2_000;

	private final WatchedFleet fleet;

	private final int number;

	private final DirectoryEntry entry;

	private final FakeHost host;

	private final StoreHealth health;

	private final SharedWatches sharing;

	private final Map<String, ListWatcher> watchers = new LinkedHashMap<>();

	private final Map<String, Map<String, String>> values = new LinkedHashMap<>();

	private final Map<InstanceId, DirectoryEntry> others = new LinkedHashMap<>();

	private final List<String> applied = new ArrayList<>();

	private final List<String> faults = new ArrayList<>();

	WatchedInstance(WatchedFleet fleet, int number, String name, String zone, boolean isSharing) {
		this.fleet = fleet;
		this.number = number;
		this.entry = new DirectoryEntry(new InstanceId(name), new AvailabilityZone(zone), "127.0.0.1", 1, false);
		this.host = new FakeHost(fleet.timer, this.entry.id(), this.entry.availabilityZone(),
				fleet.random.nextLong(1_000_000));
		UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(fleet.random.nextLong());
		this.health = new StoreHealth(this.host);
		this.sharing = new SharedWatches(fleet.network.join(this.host), this.entry, this.others::values,
				(subscriber) -> this.others.putIfAbsent(subscriber.id(), subscriber), this.host, random, this.health,
				EventLog.NONE, SharedWatchSettings.forBound(BOUND_MS));
		// An instance of an older version neither sends nor understands messages.
		if (!isSharing) {
			fleet.network.join(this.host);
		}
		for (String kind : List.of(WatchedFleet.CONFIGURATION, WatchedFleet.REPLICAS)) {
			this.values.put(kind, new LinkedHashMap<>());
			ListWatcher watcher = new ListWatcher(fleet.store.clientOf(this.host), this.host, random, this.health,
					EventLog.NONE, kind, WATCH_MS, kind.equals(WatchedFleet.REPLICAS) ? 1_000 : 0, new Recorder(kind),
					isSharing ? this.sharing : WatchSharing.NONE);
			this.sharing.add(watcher);
			this.watchers.put(kind, watcher);
		}
	}

	void start() {
		this.host.run(() -> this.watchers.values().forEach(ListWatcher::start));
	}

	void learn(WatchedInstance other) {
		if (!other.entry.id().equals(this.entry.id())) {
			this.others.put(other.entry.id(), other.entry);
		}
	}

	int number() {
		return this.number;
	}

	FakeHost host() {
		return this.host;
	}

	InstanceId id() {
		return this.entry.id();
	}

	SharedWatches sharing() {
		return this.sharing;
	}

	StoreHealth health() {
		return this.health;
	}

	ListWatcher watcher(String kind) {
		ListWatcher watcher = this.watchers.get(kind);
		if (watcher == null) {
			throw new IllegalArgumentException("no kind " + kind);
		}
		return watcher;
	}

	/** Returns the age of the last proof of the configuration. */
	long verifiedAgeMs() {
		return this.host.nowMs() - watcher(WatchedFleet.CONFIGURATION).verifiedMs();
	}

	@Nullable String value(String kind, String name) {
		return this.values.getOrDefault(kind, Map.of()).get(name);
	}

	/** Changes that were applied twice or after later ones. */
	List<String> faults() {
		return this.faults;
	}

	List<String> applied() {
		return this.applied;
	}

	@Override
	public String toString() {
		return this.entry.id().value();
	}

	private final class Recorder implements KindListener {

		private final String kind;

		private Recorder(String kind) {
			this.kind = kind;
		}

		@Override
		public void listed(List<StoredObject> objects) {
			Map<String, String> current = new LinkedHashMap<>();
			objects.forEach((object) -> {
				check(object.name(), object.value(), false);
				current.put(object.name(), object.value());
			});
			WatchedInstance.this.values.put(this.kind, current);
		}

		@Override
		public void changed(List<StoreEvent> changes) {
			Map<String, String> current = new LinkedHashMap<>(
					WatchedInstance.this.values.getOrDefault(this.kind, Map.of()));
			for (StoreEvent change : changes) {
				String value = change.value();
				if (value != null) {
					check(change.name(), value, true);
					current.put(change.name(), value);
					WatchedInstance.this.applied.add(value);
				}
				else {
					current.remove(change.name());
				}
			}
			WatchedInstance.this.values.put(this.kind, current);
		}

		private void check(String name, String value, boolean isChange) {
			String previous = value(this.kind, name);
			if (previous != null) {
				int order = Long.compare(numberOf(value), numberOf(previous));
				if (order < 0 || (isChange && order == 0)) {
					WatchedInstance.this.faults
						.add(WatchedInstance.this + " " + this.kind + "/" + name + ": " + value + " after " + previous);
				}
			}
		}

		private static long numberOf(String value) {
			return Long.parseLong(value.strip());
		}

	}

}
