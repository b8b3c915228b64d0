package dev.nutmegdoor.core.store;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Follows all objects of one kind: lists them once, then watches, and lists again when
 * the store has dropped the history. Runs on the control thread.
 */
public final class ListWatcher {

	/** First pause after a failed call in milliseconds; doubled up to the longest one. */
	private static final long INITIAL_BACKOFF_MS = 100;

	/**
	 * Longest pause in milliseconds. Changes must be in force within 2 s of the store's
	 * return, so a pause may use only a part of that.
	 */
	private static final long MAX_BACKOFF_MS = 800;

	private static final int MAX_BACKOFF_DOUBLINGS = 8;

	/** Shown in the log if no call has failed before. */
	private static final long MAX_REPORTED_OUTAGE_MS = 86_400_000;

	private final ObjectStore store;

	private final TimerService timer;

	private final UniformRandomProvider random;

	private final StoreHealth health;

	private final EventLog events;

	private final String kind;

	private final long watchTimeoutMs;

	private final long batchDelayMs;

	private final KindListener listener;

	private long lastVersion;

	private boolean isListed;

	private boolean isConnected;

	private int consecutiveFailures;

	/**
	 * Creates a follower.
	 * @param store the store
	 * @param timer source of time
	 * @param random jitter of pauses
	 * @param health learns of failed calls
	 * @param events receives {@code store.lost} and {@code store.regained}
	 * @param kind kind of the objects
	 * @param watchTimeoutMs longest wait of one watch in milliseconds
	 * @param batchDelayMs time for which changes are collected before the next watch in
	 * milliseconds; a watch ends with the first change, and each call has its price
	 * @param listener receives the objects
	 */
	public ListWatcher(ObjectStore store, TimerService timer, UniformRandomProvider random, StoreHealth health,
			EventLog events, String kind, long watchTimeoutMs, long batchDelayMs, KindListener listener) {
		this.store = store;
		this.timer = timer;
		this.random = random;
		this.health = health;
		this.events = events;
		this.kind = kind;
		this.watchTimeoutMs = watchTimeoutMs;
		this.batchDelayMs = batchDelayMs;
		this.listener = listener;
	}

	public void start() {
		list();
	}

	private void list() {
		this.store.list(this.kind, "").whenComplete((page, error) -> {
			if (error != null) {
				onFailure(error);
				return;
			}
			onSuccess();
			this.lastVersion = page.version();
			this.isListed = true;
			this.listener.listed(page.objects());
			watch();
		});
	}

	private void watch() {
		this.store.watch(this.kind, this.lastVersion, this.watchTimeoutMs).whenComplete((result, error) -> {
			if (error != null) {
				onFailure(error);
				return;
			}
			onSuccess();
			if (result.isReset()) {
				this.events.record("store.history-gone", "kind", this.kind, "revision", this.lastVersion);
				this.isListed = false;
				list();
				return;
			}
			this.lastVersion = Math.max(this.lastVersion, result.version());
			List<StoreEvent> changes = result.events();
			if (!changes.isEmpty()) {
				this.listener.changed(changes);
			}
			if (changes.isEmpty() || this.batchDelayMs == 0) {
				watch();
			}
			else {
				this.timer.schedule(this.batchDelayMs, this::watch);
			}
		});
	}

	private void onSuccess() {
		this.consecutiveFailures = 0;
		if (!this.isConnected) {
			this.isConnected = true;
			this.events.record("store.regained", "kind", this.kind, "afterMs",
					Math.min(this.health.timeSinceFailureMs(), MAX_REPORTED_OUTAGE_MS));
		}
	}

	private void onFailure(Throwable error) {
		Throwable cause = StoreException.causeOf(error);
		if (this.isConnected || this.consecutiveFailures == 0) {
			this.events.record("store.lost", "kind", this.kind, "error", String.valueOf(cause.getMessage()));
		}
		this.isConnected = false;
		this.health.recordFailure();
		long backoffMs = Math.min(MAX_BACKOFF_MS,
				INITIAL_BACKOFF_MS << Math.min(this.consecutiveFailures, MAX_BACKOFF_DOUBLINGS));
		this.consecutiveFailures++;
		long jitteredBackoffMs = backoffMs / 2 + this.random.nextLong(backoffMs / 2 + 1);
		this.timer.schedule(jitteredBackoffMs, this.isListed ? this::watch : this::list);
	}

}
