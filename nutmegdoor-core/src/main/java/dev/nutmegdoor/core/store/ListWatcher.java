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
	private static final long FIRST_PAUSE_MS = 100;

	/**
	 * Longest pause in milliseconds. Changes must be in force within 2 s of the store's
	 * return, so a pause may use only a part of that.
	 */
	private static final long LONGEST_PAUSE_MS = 800;

	private static final int MAX_DOUBLINGS = 8;

	/** Shown in the log if no call has failed before. */
	private static final long LONGEST_SHOWN_MS = 86_400_000;

	private final ObjectStore store;

	private final TimerService timer;

	private final UniformRandomProvider random;

	private final StoreHealth health;

	private final EventLog events;

	private final String kind;

	private final long watchMs;

	private final long pauseMs;

	private final KindListener listener;

	private long revision;

	private boolean isListed;

	private boolean isConnected;

	private int failures;

	/**
	 * Creates a follower.
	 * @param store the store
	 * @param timer source of time
	 * @param random jitter of pauses
	 * @param health learns of failed calls
	 * @param events receives {@code store.lost} and {@code store.regained}
	 * @param kind kind of the objects
	 * @param watchMs longest wait of one watch in milliseconds
	 * @param pauseMs time for which changes are collected before the next watch in
	 * milliseconds; a watch ends with the first change, and each call has its price
	 * @param listener receives the objects
	 */
	public ListWatcher(ObjectStore store, TimerService timer, UniformRandomProvider random, StoreHealth health,
			EventLog events, String kind, long watchMs, long pauseMs, KindListener listener) {
		this.store = store;
		this.timer = timer;
		this.random = random;
		this.health = health;
		this.events = events;
		this.kind = kind;
		this.watchMs = watchMs;
		this.pauseMs = pauseMs;
		this.listener = listener;
	}

	public void start() {
		list();
	}

	private void list() {
		this.store.list(this.kind, "").whenComplete((page, error) -> {
			if (error != null) {
				failed(error);
				return;
			}
			succeeded();
			this.revision = page.version();
			this.isListed = true;
			this.listener.listed(page.objects());
			watch();
		});
	}

	private void watch() {
		this.store.watch(this.kind, this.revision, this.watchMs).whenComplete((result, error) -> {
			if (error != null) {
				failed(error);
				return;
			}
			succeeded();
			if (result.isReset()) {
				this.events.record("store.history-gone", "kind", this.kind, "revision", this.revision);
				this.isListed = false;
				list();
				return;
			}
			this.revision = Math.max(this.revision, result.version());
			List<StoreEvent> changes = result.events();
			if (!changes.isEmpty()) {
				this.listener.changed(changes);
			}
			if (changes.isEmpty() || this.pauseMs == 0) {
				watch();
			}
			else {
				this.timer.schedule(this.pauseMs, this::watch);
			}
		});
	}

	private void succeeded() {
		this.failures = 0;
		if (!this.isConnected) {
			this.isConnected = true;
			this.events.record("store.regained", "kind", this.kind, "afterMs",
					Math.min(this.health.sinceFailureMs(), LONGEST_SHOWN_MS));
		}
	}

	private void failed(Throwable error) {
		Throwable cause = StoreException.causeOf(error);
		if (this.isConnected || this.failures == 0) {
			this.events.record("store.lost", "kind", this.kind, "error", String.valueOf(cause.getMessage()));
		}
		this.isConnected = false;
		this.health.failed();
		long pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS << Math.min(this.failures, MAX_DOUBLINGS));
		this.failures++;
		long jitteredMs = pauseMs / 2 + this.random.nextLong(pauseMs / 2 + 1);
		this.timer.schedule(jitteredMs, this.isListed ? this::watch : this::list);
	}

}
