package dev.nutmegdoor.core.route;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.store.KindListener;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StoreHealth;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Keeps the list of replicas as the platform's store shows it. Entries can lapse while
 * the store is out although the replica lives; after an outage a missing entry is
 * therefore kept for a while, since a live replica's entry comes back within that time.
 */
public final class ReplicaList implements KindListener {

	/**
	 * Time in milliseconds for which a missing entry is kept after an outage: the
	 * platform promises the entries of live replicas about 2 s after its return.
	 */
	static final long MISSING_ENTRY_GRACE_MS = 2_000;

	/**
	 * Starts that are remembered, also of replicas that are not listed at present: one
	 * that crashed is removed before it comes back. Twice the replicas of the largest
	 * deployment that is planned, with room for identifiers that are used once.
	 */
	private static final int MAX_TRACKED_START_TIMES = 2_000;

	/** Time after a failed call in milliseconds during which entries may have lapsed. */
	private static final long STORE_OUTAGE_EFFECT_MS = 2_500;

	private final Deployment deployment;

	private final TimerService timer;

	private final EventLog events;

	private final BiFunction<String, String, @Nullable ListedReplica> decoder;

	private final StoreHealth storeHealth;

	private final Consumer<UpstreamId> restartListener;

	private final Map<UpstreamId, Upstream> replicas = new HashMap<>();

	private final Map<UpstreamId, Long> startTimesMs = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<UpstreamId, Long> eldest) {
			return size() > MAX_TRACKED_START_TIMES;
		}

	};

	private final Map<UpstreamId, Long> missingSinceMs = new HashMap<>();

	/**
	 * Creates an empty list.
	 * @param deployment receives the list after each change
	 * @param timer source of time
	 * @param events receives each change
	 * @param decoder turns name and value of an entry into a replica, or {@code null} if
	 * the entry names none
	 * @param storeHealth tells when the store last failed a call
	 * @param restartListener receives replicas that have started again under their
	 * identifier
	 */
	public ReplicaList(Deployment deployment, TimerService timer, EventLog events,
			BiFunction<String, String, @Nullable ListedReplica> decoder, StoreHealth storeHealth,
			Consumer<UpstreamId> restartListener) {
		this.deployment = deployment;
		this.timer = timer;
		this.events = events;
		this.decoder = decoder;
		this.storeHealth = storeHealth;
		this.restartListener = restartListener;
	}

	@Override
	public void listed(List<StoredObject> objects) {
		Set<UpstreamId> present = new HashSet<>();
		for (StoredObject object : objects) {
			ListedReplica replica = this.decoder.apply(object.name(), object.value());
			if (replica != null) {
				present.add(replica.upstream().id());
				update(replica);
			}
		}
		for (UpstreamId id : List.copyOf(this.replicas.keySet())) {
			if (!present.contains(id)) {
				handleMissing(id);
			}
		}
		this.deployment.accept(this.replicas);
	}

	@Override
	public void changed(List<StoreEvent> changes) {
		for (StoreEvent change : changes) {
			String value = change.value();
			ListedReplica replica = (value != null) ? this.decoder.apply(change.name(), value) : null;
			if (replica != null) {
				update(replica);
			}
			else if (this.replicas.containsKey(new UpstreamId(change.name()))) {
				handleMissing(new UpstreamId(change.name()));
			}
		}
		this.deployment.accept(this.replicas);
	}

	private void update(ListedReplica listed) {
		Upstream replica = listed.upstream();
		Long previousStartedMs = this.startTimesMs.put(replica.id(), listed.startedMs());
		if (previousStartedMs != null && previousStartedMs != listed.startedMs()) {
			this.events.record("replica.restarted", "replica", replica.id(), "startedMs", listed.startedMs());
			this.restartListener.accept(replica.id());
		}
		this.missingSinceMs.remove(replica.id());
		Upstream previous = this.replicas.put(replica.id(), replica);
		if (!replica.equals(previous)) {
			this.events.record("replica.listed", "replica", replica.id(), "service", replica.serves(), "address",
					replica.host() + ":" + replica.port(), "zone", replica.availabilityZone(), "leaving",
					replica.isLeaving());
		}
	}

	private void handleMissing(UpstreamId id) {
		if (this.storeHealth.sinceFailureMs() > STORE_OUTAGE_EFFECT_MS) {
			remove(id, "removed from the list");
			return;
		}
		if (this.missingSinceMs.putIfAbsent(id, this.timer.nowMs()) != null) {
			return;
		}
		this.events.record("replica.missing", "replica", id, "sinceOutageMs", this.storeHealth.sinceFailureMs());
		this.timer.schedule(MISSING_ENTRY_GRACE_MS, () -> {
			Long sinceMs = this.missingSinceMs.get(id);
			if (sinceMs != null && this.timer.nowMs() - sinceMs >= MISSING_ENTRY_GRACE_MS) {
				remove(id, "still missing after an outage");
				this.deployment.accept(this.replicas);
			}
		});
	}

	private void remove(UpstreamId id, String reason) {
		this.missingSinceMs.remove(id);
		if (this.replicas.remove(id) != null) {
			this.events.record("replica.removed", "replica", id, "reason", reason);
		}
	}

}
