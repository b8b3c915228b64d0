package dev.nutmegdoor.core.program;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Cache of the partition records. Reads the store with one list call per refresh and
 * takes newer records from peers in between.
 */
public final class PartitionTable {

	/** Bounds the rate of list calls that stale routes can cause. */
	private static final long MIN_REFRESH_INTERVAL_MS = 1_000;

	private final ObjectStore store;

	private final TimerService timer;

	private final long refreshMs;

	private final Map<String, PartitionHint> records = new TreeMap<>();

	private boolean isLoaded;

	private boolean isLoading;

	private long lastRefreshMs;

	PartitionTable(ObjectStore store, TimerService timer, long refreshMs) {
		this.store = store;
		this.timer = timer;
		this.refreshMs = refreshMs;
		this.lastRefreshMs = timer.nowMs() - refreshMs;
	}

	/**
	 * Returns the owner of a partition by the cached record, which may be outdated.
	 * @param partition name of the partition
	 * @return the owner, or {@code null} if no record is cached
	 */
	public @Nullable InstanceId owner(String partition) {
		PartitionHint hint = this.records.get(partition);
		return (hint != null) ? hint.record().owner() : null;
	}

	/**
	 * Returns the cached record of a partition, which may be outdated.
	 * @param partition name of the partition
	 * @return the record with its version, or {@code null} if none is cached
	 */
	public @Nullable PartitionHint find(String partition) {
		return this.records.get(partition);
	}

	/**
	 * Returns the partitions that have a cached record.
	 * @return partition names in alphabetical order
	 */
	public List<String> names() {
		return List.copyOf(this.records.keySet());
	}

	boolean isLoaded() {
		return this.isLoaded;
	}

	Map<String, PartitionHint> snapshot() {
		return Map.copyOf(this.records);
	}

	/**
	 * Caches a record if its version is higher than that of the cached one.
	 * @param hint record with the version of its store object
	 */
	public void updateIfNewer(PartitionHint hint) {
		this.records.merge(hint.partition(), hint,
				(cached, received) -> (received.version() > cached.version()) ? received : cached);
	}

	void updateIfNewer(StoredObject object) {
		updateIfNewer(
				new PartitionHint(object.name(), object.version(), Json.read(object.value(), PartitionRecord.class)));
	}

	/**
	 * Reads the store if the last read is older than the refresh period.
	 */
	void refreshIfDue() {
		refreshIfOlderThan(this.refreshMs);
	}

	/**
	 * Reads the store because a route turned out to be stale, at most once per second.
	 */
	public void refreshEarly() {
		refreshIfOlderThan(MIN_REFRESH_INTERVAL_MS);
	}

	private void refreshIfOlderThan(long minAgeMs) {
		long sinceRefreshMs = this.timer.nowMs() - this.lastRefreshMs;
		// A read whose response never arrives must not block later refreshes.
		boolean isPending = this.isLoading && sinceRefreshMs < this.refreshMs;
		if (isPending || sinceRefreshMs < minAgeMs) {
			return;
		}
		this.isLoading = true;
		this.lastRefreshMs = this.timer.nowMs();
		this.store.list(PartitionRecord.KIND, "").whenComplete((page, error) -> {
			this.isLoading = false;
			if (error == null) {
				page.objects().forEach(this::updateIfNewer);
				this.isLoaded = true;
			}
		});
	}

	/**
	 * Reads one record from the store.
	 * @param partition name of the partition
	 * @return completes when the record is cached or the read has failed; never fails
	 */
	CompletableFuture<Void> reload(String partition) {
		return this.store.get(PartitionRecord.KIND, partition).handle((object, error) -> {
			if (error == null) {
				updateIfNewer(object);
			}
			return null;
		});
	}

}
