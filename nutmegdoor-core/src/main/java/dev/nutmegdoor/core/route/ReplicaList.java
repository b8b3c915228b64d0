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
import dev.nutmegdoor.core.store.UnreadableEntries;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Maintains the list of replicas from the entries in the platform's store. An entry can
 * expire during an outage of the store although its replica is running. A replica whose
 * entry is missing is therefore kept until a grace period after the outage has elapsed,
 * in which the entry of a running replica reappears.
 */
public final class ReplicaList implements KindListener {

	/**
	 * Time in milliseconds after the end of an outage for which replicas without an entry
	 * are kept. The platform guarantees that the entries of running replicas reappear
	 * about 2 s after the store recovers.
	 */
	static final long MISSING_ENTRY_GRACE_MS = 2_000;

	/**
	 * Maximum time in milliseconds for which changes are collected. A watch returns at
	 * the first change, so replicas that start together would otherwise cost a call each
	 * in every instance.
	 */
	private static final long MAX_COLLECTION_DELAY_MS = 1_000;

	/**
	 * Time in milliseconds that the response to a repeated call and the backoff before it
	 * may take.
	 */
	private static final long REPETITION_MS = 250;

	/**
	 * Maximum number of replicas whose incarnation is tracked. Replicas that are not
	 * listed are included, because a crashed replica is removed from the list before it
	 * restarts. Twice the size of the largest planned deployment, which leaves room for
	 * identifiers that are used only once.
	 */
	private static final int MAX_TRACKED_INCARNATIONS = 2_000;

	private final Deployment deployment;

	private final TimerService timer;

	private final EventLog events;

	private final BiFunction<String, String, @Nullable ListedReplica> decoder;

	private final StoreHealth storeHealth;

	private final Consumer<UpstreamId> restartListener;

	private final ReplicaEntryListener entryListener;

	private final Map<UpstreamId, Upstream> replicas = new HashMap<>();

	private final Map<UpstreamId, Incarnation> incarnations = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<UpstreamId, Incarnation> eldest) {
			return size() > MAX_TRACKED_INCARNATIONS;
		}

	};

	private final Set<UpstreamId> missing = new HashSet<>();

	private final UnreadableEntries unreadableEntries;

	/**
	 * Creates an empty list.
	 * @param deployment receives the list after each change
	 * @param timer source of time
	 * @param events records each change and each entry that doesn't describe a replica
	 * @param decoder decodes the name and the value of an entry; returns {@code null} if
	 * the entry doesn't describe a replica
	 * @param storeHealth provides the time since the last outage of the store
	 * @param restartListener called with each replica that has restarted under the same
	 * identifier
	 */
	public ReplicaList(Deployment deployment, TimerService timer, EventLog events,
			BiFunction<String, String, @Nullable ListedReplica> decoder, StoreHealth storeHealth,
			Consumer<UpstreamId> restartListener) {
		this(deployment, timer, events, decoder, storeHealth, restartListener, (replica, isStarted) -> {
		});
	}

	/**
	 * Creates an empty list.
	 * @param deployment receives the list after each change
	 * @param timer source of time
	 * @param events records each change and each entry that doesn't describe a replica
	 * @param decoder decodes the name and the value of an entry; returns {@code null} if
	 * the entry doesn't describe a replica
	 * @param storeHealth provides the time since the last outage of the store
	 * @param restartListener called with each replica that has restarted under the same
	 * identifier
	 * @param entryListener receives each entry before the list is published
	 */
	public ReplicaList(Deployment deployment, TimerService timer, EventLog events,
			BiFunction<String, String, @Nullable ListedReplica> decoder, StoreHealth storeHealth,
			Consumer<UpstreamId> restartListener, ReplicaEntryListener entryListener) {
		this.deployment = deployment;
		this.timer = timer;
		this.events = events;
		this.decoder = decoder;
		this.storeHealth = storeHealth;
		this.restartListener = restartListener;
		this.entryListener = entryListener;
		this.unreadableEntries = new UnreadableEntries(events);
	}

	/**
	 * Returns the time for which changes of the list may be collected between two
	 * watches. A notice of leaving waits for that time, and the next call may have to be
	 * repeated.
	 * @param drainMs time in milliseconds after which a leaving replica must no longer be
	 * used
	 * @param callTimeoutMs timeout of a store call in milliseconds
	 * @return time in milliseconds, 0 if there is none to spare
	 */
	public static long collectionDelayMs(long drainMs, long callTimeoutMs) {
		return Math.max(0, Math.min(MAX_COLLECTION_DELAY_MS, drainMs - callTimeoutMs - REPETITION_MS));
	}

	@Override
	public void listed(List<StoredObject> objects) {
		Set<UpstreamId> present = new HashSet<>();
		for (StoredObject object : objects) {
			ListedReplica replica = decode(object.kind(), object.name(), object.value());
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
		Set<String> unpublished = new HashSet<>();
		for (StoreEvent change : changes) {
			// A version that serves only for a moment may begin streams.
			if (!unpublished.add(change.name())) {
				this.deployment.accept(this.replicas);
				unpublished.clear();
				unpublished.add(change.name());
			}
			String value = change.value();
			ListedReplica replica = (value != null) ? decode(change.kind(), change.name(), value) : null;
			if (replica != null) {
				update(replica);
			}
			else {
				handleMissing(change.name());
			}
		}
		this.deployment.accept(this.replicas);
	}

	// An entry that can't be decoded must not keep the changes after it from being
	// applied.
	private @Nullable ListedReplica decode(String kind, String name, String value) {
		String reason = "it does not describe a replica";
		try {
			ListedReplica replica = this.decoder.apply(name, value);
			if (replica != null) {
				return replica;
			}
		}
		catch (RuntimeException | StackOverflowError ex) {
			reason = String.valueOf(ex);
		}
		this.unreadableEntries.report(kind, name, reason);
		return null;
	}

	// The name may be that of another writer's entry, which need not be an identifier.
	private void handleMissing(String name) {
		for (UpstreamId id : List.copyOf(this.replicas.keySet())) {
			if (id.value().equals(name)) {
				handleMissing(id);
			}
		}
	}

	/**
	 * Applies that a replica has stated in a response that it leaves. Its entry in the
	 * store says so earlier or later, or never.
	 * @param id the replica; ignored if it isn't listed
	 * @param sentMs time at which the request was sent in milliseconds; ignored if the
	 * replica has restarted since
	 */
	public void statedLeaving(UpstreamId id, long sentMs) {
		Upstream replica = this.replicas.get(id);
		Incarnation incarnation = this.incarnations.get(id);
		if (replica == null || incarnation == null || incarnation.isLeaving() || sentMs < incarnation.noticedMs()) {
			return;
		}
		this.incarnations.put(id, incarnation.asLeaving());
		if (!replica.isLeaving()) {
			this.replicas.put(id, replica.asLeaving());
			this.events.record("replica.stated-leaving", "replica", id, "service", replica.serves());
			this.deployment.accept(this.replicas);
		}
	}

	private void update(ListedReplica listed) {
		Incarnation previousIncarnation = this.incarnations.get(listed.upstream().id());
		Incarnation incarnation = updateIncarnation(listed);
		this.entryListener.listed(listed,
				previousIncarnation == null || previousIncarnation.startedMs() != incarnation.startedMs());
		// An entry that was written before the replica's statement may arrive after it.
		Upstream replica = incarnation.isLeaving() ? listed.upstream().asLeaving() : listed.upstream();
		this.missing.remove(replica.id());
		Upstream previous = this.replicas.put(replica.id(), replica);
		if (!replica.equals(previous)) {
			this.events.record("replica.listed", "replica", replica.id(), "service", replica.serves(), "address",
					replica.host() + ":" + replica.port(), "zone", replica.availabilityZone(), "leaving",
					replica.isLeaving(), "softwareVersion", String.valueOf(replica.softwareVersion()), "sequence",
					listed.sequence());
		}
	}

	private Incarnation updateIncarnation(ListedReplica listed) {
		UpstreamId id = listed.upstream().id();
		Incarnation previous = this.incarnations.get(id);
		if (previous != null && previous.startedMs() == listed.startedMs()) {
			return previous;
		}
		Incarnation current = new Incarnation(listed.startedMs(), this.timer.nowMs(), false);
		this.incarnations.put(id, current);
		if (previous != null) {
			this.events.record("replica.restarted", "replica", id, "startedMs", listed.startedMs());
			this.restartListener.accept(id);
		}
		return current;
	}

	private void handleMissing(UpstreamId id) {
		if (remainingGraceMs() <= 0) {
			remove(id, "removed from the list");
			return;
		}
		if (!this.missing.add(id)) {
			return;
		}
		this.events.record("replica.missing", "replica", id, "sinceOutageMs", this.storeHealth.timeSinceOutageMs(),
				"outageElsewhere", this.storeHealth.isOutageElsewhere());
		if (this.missing.size() == 1) {
			this.timer.schedule(remainingGraceMs(), this::removeMissing);
		}
	}

	private void removeMissing() {
		if (this.missing.isEmpty()) {
			return;
		}
		long remainingMs = remainingGraceMs();
		if (remainingMs > 0) {
			this.timer.schedule(remainingMs, this::removeMissing);
			return;
		}
		List.copyOf(this.missing).forEach((id) -> remove(id, "still missing after an outage"));
		this.deployment.accept(this.replicas);
	}

	private long remainingGraceMs() {
		return MISSING_ENTRY_GRACE_MS - this.storeHealth.timeSinceOutageMs();
	}

	private void remove(UpstreamId id, String reason) {
		this.missing.remove(id);
		if (this.replicas.remove(id) != null) {
			this.events.record("replica.removed", "replica", id, "reason", reason);
		}
	}

	/**
	 * One run of a replica.
	 *
	 * @param startedMs time of its start as the replica states it
	 * @param noticedMs time at which this instance first saw it
	 * @param isLeaving whether it has stated in a response that it leaves
	 */
	private record Incarnation(long startedMs, long noticedMs, boolean isLeaving) {

		private Incarnation asLeaving() {
			return new Incarnation(this.startedMs, this.noticedMs, true);
		}

	}

}
