package dev.nutmegdoor.core.fake;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StoreException;
import dev.nutmegdoor.core.store.StoreFailure;
import dev.nutmegdoor.core.store.StorePage;
import dev.nutmegdoor.core.store.StoreWatchResult;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * In-memory object store on virtual time with versions, conditional updates and watches.
 * It simulates a rate limit, outages, partitioned zones and responses that are lost after
 * the change took effect.
 */
public final class FakeObjectStore {

	private static final int MAX_RETAINED_EVENTS = 10_000;

	private static final long OUTAGE_TIMEOUT_MS = 1000;

	/** Time in milliseconds until a client stops waiting for a lost response. */
	public static final long LOST_RESPONSE_TIMEOUT_MS = 1_500;

	private static final long WATCH_POLL_INTERVAL_MS = 20;

	private final VirtualTimerService timer;

	private final UniformRandomProvider random;

	private final Map<String, SortedMap<String, StoredObject>> objectsByKind = new HashMap<>();

	private final Map<String, String> statuses = new HashMap<>();

	private final List<StoreEvent> events = new ArrayList<>();

	private final Set<AvailabilityZone> partitionedZones = new HashSet<>();

	private final Set<InstanceId> rejectedInstances = new HashSet<>();

	private final Set<InstanceId> unansweredInstances = new HashSet<>();

	private final SortedMap<Long, Long> timesByVersion = new TreeMap<>();

	private final Map<String, Long> callsByOperation = new TreeMap<>();

	private StoreFaults faults;

	private boolean areDeletionsReportedWithOldVersion;

	private boolean available = true;

	private long version;

	private long lastDiscardedVersion;

	private long interruptedWatches;

	private int watchResponsesToLose;

	private long calls;

	private long writes;

	private long rateWindowStartMs;

	private int callsInWindow;

	public FakeObjectStore(VirtualTimerService timer, UniformRandomProvider random, StoreFaults faults) {
		this.timer = timer;
		this.random = random;
		this.faults = faults;
	}

	/**
	 * Returns a client of the store for one host.
	 * @param host host whose zone determines whether the store is reachable
	 * @return a client whose callbacks run on the host
	 */
	public ObjectStore clientOf(FakeHost host) {
		return new Client(host);
	}

	public void setFaults(StoreFaults faults) {
		this.faults = faults;
	}

	public void setAvailable(boolean isAvailable) {
		this.available = isAvailable;
	}

	/**
	 * Interrupts all watches and discards the history, so that the objects have to be
	 * listed again.
	 */
	public void discardHistory() {
		this.interruptedWatches++;
		this.lastDiscardedVersion = this.version;
		this.events.clear();
	}

	/**
	 * Discards the next responses to watches that report changes.
	 * @param count number of responses
	 */
	public void loseWatchResponses(int count) {
		this.watchResponsesToLose = count;
	}

	/**
	 * Starts or ends a network partition between a zone and the store.
	 * @param zone zone to partition or to reconnect
	 * @param isPartitioned whether the zone is partitioned
	 */
	public void setCut(AvailabilityZone zone, boolean isPartitioned) {
		if (isPartitioned) {
			this.partitionedZones.add(zone);
		}
		else {
			this.partitionedZones.remove(zone);
		}
	}

	/**
	 * Returns an object without a store call, for assertions.
	 * @param kind kind of the object
	 * @param name name within the kind
	 * @return the object, or {@code null} if it does not exist
	 */
	public @Nullable StoredObject peek(String kind, String name) {
		return kind(kind).get(name);
	}

	/**
	 * Returns the status of an object without a store call, for assertions.
	 * @param kind kind of the object
	 * @param name name within the kind
	 * @return the status as JSON, or {@code null} if none was reported
	 */
	public @Nullable String peekStatus(String kind, String name) {
		return this.statuses.get(kind + "/" + name);
	}

	public long calls() {
		return this.calls;
	}

	public long writes() {
		return this.writes;
	}

	/**
	 * Returns the number of calls of an operation.
	 * @param operation {@code list} or {@code watch}
	 * @return calls that reached the store
	 */
	public long calls(String operation) {
		return this.callsByOperation.getOrDefault(operation, 0L);
	}

	/**
	 * Sets whether the event of a deletion has the version of the deleted object instead
	 * of its own.
	 * @param isReported whether it has the old version
	 */
	public void setDeletionsReportedWithOldVersion(boolean isReported) {
		this.areDeletionsReportedWithOldVersion = isReported;
	}

	/**
	 * Starts or ends the rejection of all calls of one host, pending watches included.
	 * @param id host
	 * @param isRejected whether its calls fail
	 */
	public void setRejected(InstanceId id, boolean isRejected) {
		if (isRejected) {
			this.rejectedInstances.add(id);
		}
		else {
			this.rejectedInstances.remove(id);
		}
	}

	/**
	 * Starts or ends that calls of one host are not answered. They fail when the client
	 * stops waiting.
	 * @param id host
	 * @param isUnanswered whether its calls hang, pending watches included
	 */
	public void setUnanswered(InstanceId id, boolean isUnanswered) {
		if (isUnanswered) {
			this.unansweredInstances.add(id);
		}
		else {
			this.unansweredInstances.remove(id);
		}
	}

	private boolean tryAcquireCall() {
		long nowMs = this.timer.nowMs();
		if (nowMs - this.rateWindowStartMs >= 1000) {
			this.rateWindowStartMs = nowMs;
			this.callsInWindow = 0;
		}
		this.calls++;
		this.callsInWindow++;
		return this.callsInWindow <= this.faults.callsPerSecond();
	}

	private SortedMap<String, StoredObject> kind(String kind) {
		return this.objectsByKind.computeIfAbsent(kind, (key) -> new TreeMap<>());
	}

	private StoredObject require(String kind, String name) {
		StoredObject object = kind(kind).get(name);
		if (object == null) {
			throw new StoreException(StoreFailure.NOT_FOUND, kind + "/" + name + " does not exist");
		}
		return object;
	}

	private StoredObject put(String kind, String name, String value) {
		if (value.getBytes(StandardCharsets.UTF_8).length > ObjectStore.MAX_VALUE_BYTES) {
			throw new StoreException(StoreFailure.INVALID, "value of " + kind + "/" + name + " is too large");
		}
		StoredObject object = new StoredObject(kind, name, ++this.version, value);
		kind(kind).put(name, object);
		record(new StoreEvent(kind, name, this.version, value));
		return object;
	}

	private void record(StoreEvent event) {
		this.writes++;
		this.events.add(event);
		this.timesByVersion.put(event.version(), this.timer.nowMs());
		if (this.events.size() > MAX_RETAINED_EVENTS) {
			this.lastDiscardedVersion = this.events.remove(0).version();
		}
	}

	private void requireVersion(StoredObject object, long expectedVersion) {
		if (object.version() != expectedVersion) {
			throw new StoreException(StoreFailure.CONFLICT, object.kind() + "/" + object.name() + " has version "
					+ object.version() + ", expected " + expectedVersion);
		}
	}

	private final class Client implements ObjectStore {

		private final FakeHost host;

		private Client(FakeHost host) {
			this.host = host;
		}

		@Override
		public CompletableFuture<StoredObject> get(String kind, String name) {
			return call(false, () -> require(kind, name));
		}

		@Override
		public CompletableFuture<StorePage> list(String kind, String prefix) {
			count("list");
			return call(false, () -> {
				List<StoredObject> found = new ArrayList<>();
				for (StoredObject object : kind(kind).tailMap(prefix).values()) {
					if (!object.name().startsWith(prefix)) {
						break;
					}
					found.add(object);
				}
				return new StorePage(found, FakeObjectStore.this.version);
			});
		}

		private void count(String operation) {
			FakeObjectStore.this.callsByOperation.merge(operation, 1L, Long::sum);
		}

		@Override
		public CompletableFuture<StoredObject> create(String kind, String name, String value) {
			return call(true, () -> {
				if (kind(kind).containsKey(name)) {
					throw new StoreException(StoreFailure.CONFLICT, kind + "/" + name + " exists already");
				}
				return put(kind, name, value);
			});
		}

		@Override
		public CompletableFuture<StoredObject> update(String kind, String name, long expectedVersion, String value) {
			return call(true, () -> {
				requireVersion(require(kind, name), expectedVersion);
				return put(kind, name, value);
			});
		}

		@Override
		public CompletableFuture<Void> delete(String kind, String name, long expectedVersion) {
			return call(true, () -> {
				requireVersion(require(kind, name), expectedVersion);
				kind(kind).remove(name);
				record(new StoreEvent(kind, name, ++FakeObjectStore.this.version, null));
				return null;
			});
		}

		@Override
		public CompletableFuture<Void> reportStatus(String kind, String name, String status) {
			return call(true, () -> {
				require(kind, name);
				FakeObjectStore.this.statuses.put(kind + "/" + name, status);
				return null;
			});
		}

		@Override
		public CompletableFuture<StoreWatchResult> watch(String kind, long afterVersion, long timeoutMs) {
			long deadlineMs = FakeObjectStore.this.timer.nowMs() + timeoutMs;
			CompletableFuture<StoreWatchResult> result = new CompletableFuture<>();
			long openedAfter = FakeObjectStore.this.interruptedWatches;
			count("watch");
			call(false, () -> {
				poll(kind, afterVersion, deadlineMs, openedAfter, result);
				return null;
			}).whenComplete((ignored, error) -> {
				if (error != null) {
					result.completeExceptionally(error);
				}
			});
			return result;
		}

		private void poll(String kind, long afterVersion, long deadlineMs, long openedAfter,
				CompletableFuture<StoreWatchResult> result) {
			if (isUnanswered()) {
				this.host.schedule(
						Math.max(0, deadlineMs - FakeObjectStore.this.timer.nowMs()) + LOST_RESPONSE_TIMEOUT_MS,
						() -> fail(result, StoreFailure.UNAVAILABLE, 0));
				return;
			}
			if (isRejected()) {
				fail(result, StoreFailure.UNAVAILABLE, delayMs());
				return;
			}
			if (!isReachable()) {
				fail(result, StoreFailure.UNAVAILABLE);
				return;
			}
			if (openedAfter != FakeObjectStore.this.interruptedWatches) {
				fail(result, StoreFailure.UNAVAILABLE, delayMs());
				return;
			}
			if (afterVersion < FakeObjectStore.this.lastDiscardedVersion) {
				respond(result, new StoreWatchResult(List.of(), FakeObjectStore.this.version, true));
				return;
			}
			List<StoreEvent> found = new ArrayList<>();
			for (int i = FakeObjectStore.this.events.size() - 1; i >= 0; i--) {
				StoreEvent event = FakeObjectStore.this.events.get(i);
				if (event.version() <= afterVersion) {
					break;
				}
				if (event.kind().equals(kind)) {
					found.add(0, event);
				}
			}
			if (!found.isEmpty() && FakeObjectStore.this.watchResponsesToLose > 0) {
				FakeObjectStore.this.watchResponsesToLose--;
				fail(result, StoreFailure.UNAVAILABLE, LOST_RESPONSE_TIMEOUT_MS);
				return;
			}
			if (!found.isEmpty() || FakeObjectStore.this.timer.nowMs() >= deadlineMs) {
				respond(result, new StoreWatchResult(found.stream().map(this::reported).toList(),
						FakeObjectStore.this.version, false));
				return;
			}
			FakeObjectStore.this.timer.schedule(WATCH_POLL_INTERVAL_MS, () -> {
				if (!this.host.isCrashed()) {
					poll(kind, afterVersion, deadlineMs, openedAfter, result);
				}
			});
		}

		private StoreEvent reported(StoreEvent event) {
			if (event.value() != null || !FakeObjectStore.this.areDeletionsReportedWithOldVersion) {
				return event;
			}
			long oldVersion = FakeObjectStore.this.events.stream()
				.filter((earlier) -> earlier.kind().equals(event.kind()) && earlier.name().equals(event.name())
						&& earlier.version() < event.version())
				.mapToLong(StoreEvent::version)
				.max()
				.orElse(0);
			return new StoreEvent(event.kind(), event.name(), oldVersion, null);
		}

		private boolean isUnanswered() {
			return FakeObjectStore.this.unansweredInstances.contains(this.host.id());
		}

		private boolean isRejected() {
			return FakeObjectStore.this.rejectedInstances.contains(this.host.id());
		}

		private boolean isReachable() {
			return FakeObjectStore.this.available
					&& !FakeObjectStore.this.partitionedZones.contains(this.host.availabilityZone());
		}

		private long delayMs() {
			long jitterMs = FakeObjectStore.this.faults.jitterMs();
			return FakeObjectStore.this.faults.delayMs()
					+ ((jitterMs > 0) ? FakeObjectStore.this.random.nextLong(jitterMs + 1) : 0);
		}

		private <T> void respond(CompletableFuture<T> result, T value) {
			this.host.schedule(delayMs(), () -> result.complete(value));
		}

		private <T> void fail(CompletableFuture<T> result, StoreFailure failure) {
			fail(result, failure, (failure == StoreFailure.RATE_LIMITED) ? delayMs() : OUTAGE_TIMEOUT_MS);
		}

		private <T> void fail(CompletableFuture<T> result, StoreFailure failure, long delayMs) {
			this.host.schedule(delayMs,
					() -> result.completeExceptionally(new StoreException(failure, "store call failed: " + failure)));
		}

		private <T> CompletableFuture<T> call(boolean isWrite, Supplier<T> effect) {
			CompletableFuture<T> result = new CompletableFuture<>();
			// The call reaches the store even if its sender crashes in the meantime.
			FakeObjectStore.this.timer.schedule(delayMs(), () -> execute(isWrite, effect, result));
			return result;
		}

		private <T> void execute(boolean isWrite, Supplier<T> effect, CompletableFuture<T> result) {
			if (isUnanswered()) {
				fail(result, isWrite ? StoreFailure.OUTCOME_UNKNOWN : StoreFailure.UNAVAILABLE,
						LOST_RESPONSE_TIMEOUT_MS);
				return;
			}
			if (isRejected()) {
				fail(result, StoreFailure.UNAVAILABLE, delayMs());
				return;
			}
			if (!isReachable()) {
				fail(result, StoreFailure.UNAVAILABLE);
				return;
			}
			if (!tryAcquireCall()) {
				fail(result, StoreFailure.RATE_LIMITED);
				return;
			}
			T value;
			try {
				value = effect.get();
			}
			catch (StoreException ex) {
				this.host.schedule(delayMs(), () -> result.completeExceptionally(ex));
				return;
			}
			boolean isResponseLost = isWrite
					&& FakeObjectStore.this.random.nextDouble() < FakeObjectStore.this.faults.lostAnswerProbability();
			if (isResponseLost) {
				fail(result, StoreFailure.OUTCOME_UNKNOWN);
			}

			else {
				respond(result, value);
			}
		}

	}

}
