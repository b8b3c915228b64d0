package dev.nutmegdoor.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Tracks all objects of one kind: lists them once, then watches for changes, and lists
 * them again when the store no longer has the history that a watch needs. Failed calls
 * are retried with jittered backoff. The changes may come from other instances instead.
 * Runs on the control thread.
 */
public final class ListWatcher implements FollowedList {

	/** Backoff in milliseconds after the first failed call; doubled up to the maximum. */
	private static final long INITIAL_BACKOFF_MS = 100;

	/**
	 * Maximum backoff in milliseconds. Changes must be applied within 2 s after the store
	 * has recovered, so a backoff may take only a part of that time.
	 */
	private static final long MAX_BACKOFF_MS = 800;

	private static final int MAX_BACKOFF_DOUBLINGS = 8;

	/**
	 * Timeout in milliseconds of the first watch after a failed call. It shows whether
	 * the store answers again, which a longer watch without a change does not.
	 */
	private static final long PROBE_TIMEOUT_MS = 100;

	/** Wait in milliseconds of the watch that confirms the list. */
	private static final long CONFIRMATION_WAIT_MS = 1;

	/**
	 * Maximum duration in milliseconds that is reported in events; applies if no call has
	 * failed before.
	 */
	private static final long MAX_REPORTED_OUTAGE_MS = 86_400_000;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final ObjectStore store;

	private final TimerService timer;

	private final UniformRandomProvider random;

	private final StoreHealth health;

	private final EventLog events;

	private final String kind;

	private final long watchTimeoutMs;

	private final long batchDelayMs;

	private final KindListener listener;

	private final WatchSharing sharing;

	private final Confirmations confirmations;

	private final List<InterruptionListener> interruptionListeners = new ArrayList<>();

	private long lastVersion;

	private long lastResponseMs;

	private long verifiedMs = NEVER_MS;

	private boolean isListed;

	private boolean isConnected;

	private boolean isConfirmationFailed;

	private boolean isPaused;

	private boolean isProbing;

	private int consecutiveFailures;

	/**
	 * Creates a watcher that makes no calls before {@link #start()}.
	 * @param store store that holds the objects
	 * @param timer source of time
	 * @param random source of backoff jitter
	 * @param health records failed and successful calls
	 * @param events receives {@code store.lost} and {@code store.regained}
	 * @param kind kind of the objects
	 * @param watchTimeoutMs maximum wait of one watch in milliseconds
	 * @param batchDelayMs delay in milliseconds between a watch that returned changes and
	 * the next one, or 0; a watch returns at the first change, so without a delay each of
	 * several successive changes costs a call
	 * @param listener receives the objects and their changes
	 */
	public ListWatcher(ObjectStore store, TimerService timer, UniformRandomProvider random, StoreHealth health,
			EventLog events, String kind, long watchTimeoutMs, long batchDelayMs, KindListener listener) {
		this(store, timer, random, health, events, kind, watchTimeoutMs, batchDelayMs, listener, WatchSharing.NONE);
	}

	/**
	 * Creates a watcher that also takes changes from other instances.
	 * @param store store that holds the objects
	 * @param timer source of time
	 * @param random source of backoff jitter
	 * @param health records failed and successful calls
	 * @param events receives {@code store.lost} and {@code store.regained}
	 * @param kind kind of the objects
	 * @param watchTimeoutMs maximum wait of one watch in milliseconds
	 * @param batchDelayMs delay in milliseconds between a watch that returned changes and
	 * the next one, or 0
	 * @param listener receives the objects and their changes
	 * @param sharing decides whether this instance has to watch the store itself
	 */
	public ListWatcher(ObjectStore store, TimerService timer, UniformRandomProvider random, StoreHealth health,
			EventLog events, String kind, long watchTimeoutMs, long batchDelayMs, KindListener listener,
			WatchSharing sharing) {
		this.store = store;
		this.timer = timer;
		this.random = random;
		this.health = health;
		this.events = events;
		this.kind = kind;
		this.watchTimeoutMs = watchTimeoutMs;
		this.batchDelayMs = batchDelayMs;
		this.listener = listener;
		this.sharing = sharing;
		this.confirmations = new Confirmations(timer, this::callToConfirm);
	}

	public void start() {
		this.lastResponseMs = this.timer.nowMs();
		list();
	}

	private void list() {
		long openedMs = this.timer.nowMs();
		this.store.list(this.kind, "").whenComplete((page, error) -> {
			if (error != null) {
				onFailure(error, openedMs);
				return;
			}
			onSuccess();
			this.lastVersion = page.version();
			this.isListed = true;
			recordVerified(openedMs);
			this.sharing.listed(this.kind, page.version());
			this.events.record("store.listed", "kind", this.kind, "revision", page.version(), "objects",
					page.objects().size(), "sinceResponseMs", this.timer.nowMs() - this.lastResponseMs);
			notifyListener(() -> this.listener.listed(page.objects()));
			notifyListener(() -> this.interruptionListeners.forEach(InterruptionListener::listed));
			this.lastResponseMs = this.timer.nowMs();
			watch();
		});
	}

	public String kind() {
		return this.kind;
	}

	/**
	 * Returns whether the objects have been listed, so that changes can be applied.
	 * @return {@code false} before the first list and while a lost history is listed
	 * again
	 */
	public boolean isListed() {
		return this.isListed;
	}

	/**
	 * Returns whether the watch rests because it is not needed.
	 * @return {@code true} until {@link #resume()}
	 */
	public boolean isPaused() {
		return this.isPaused;
	}

	/**
	 * Returns whether this instance watches the store itself and the last calls
	 * succeeded.
	 * @return {@code false} also if the changes are received from other instances
	 */
	public boolean isWatching() {
		return !this.isPaused && isFollowed();
	}

	/**
	 * Watches the store again after {@link WatchSharing#isWatchNeeded} has interrupted
	 * the watch. Continues from the last applied revision, so no list is needed unless
	 * the store has dropped its history.
	 */
	public void resume() {
		if (this.isPaused) {
			this.isPaused = false;
			this.isProbing = true;
			changeState(() -> this.isConnected = false);
			watch();
		}
	}

	/**
	 * Applies changes that another instance has received from the store.
	 * @param afterRevision revision after which the changes are complete
	 * @param revision revision up to which they are complete
	 * @param shownMs time in milliseconds for which they show the state of the store
	 * @param changes changes with their revisions, oldest first; those that have been
	 * applied already are skipped
	 * @return {@code false} if changes between the last applied revision and the first
	 * one are missing; nothing has been applied then
	 */
	public boolean applyShared(long afterRevision, long revision, long shownMs, List<StoreEvent> changes) {
		if (!this.isListed || afterRevision > this.lastVersion) {
			return false;
		}
		if (revision > this.lastVersion) {
			long appliedRevision = this.lastVersion;
			List<StoreEvent> missing = changes.stream().filter((change) -> change.version() > appliedRevision).toList();
			apply(new StoreWatchResult(missing, revision, false), this.lastResponseMs);
			this.lastVersion = Math.max(this.lastVersion, revision);
		}
		recordVerified(shownMs);
		return true;
	}

	/**
	 * Applies what a call for another kind has shown. All kinds share the revision of the
	 * store, so nothing is missing here if it is not above the own one.
	 * @param revision revision that the store did not exceed
	 * @param shownMs time in milliseconds for which that is known
	 */
	public void recordStoreRevision(long revision, long shownMs) {
		if (this.isListed && revision <= this.lastVersion) {
			recordVerified(shownMs);
		}
	}

	/**
	 * Records that another instance watches the store successfully, and that what it
	 * received has been applied here.
	 */
	public void recordSharedSuccess() {
		this.isConfirmationFailed = false;
		if (this.isPaused && !this.isConnected) {
			this.consecutiveFailures = 0;
			this.isConnected = true;
			this.health.recordSuccessElsewhere();
		}
	}

	@Override
	public boolean isFollowed() {
		return this.isListed && this.isConnected && !this.isConfirmationFailed;
	}

	@Override
	public long revision() {
		return this.lastVersion;
	}

	/**
	 * Returns the latest time for which it is known that the store held no change that is
	 * not applied here. A call shows it for the time at which it was sent: the response
	 * may have been on its way for any part of the time since, and a watch that has not
	 * returned shows nothing.
	 * @return time in milliseconds, a very small number before the first listing
	 */
	public long verifiedMs() {
		return this.verifiedMs;
	}

	@Override
	public CompletableFuture<Boolean> confirm() {
		return this.confirmations.request();
	}

	@Override
	public void subscribe(InterruptionListener interruptionListener) {
		this.interruptionListeners.add(interruptionListener);
	}

	// Its failures are not recorded as those of the store: the watch finds out itself.
	private CompletableFuture<Boolean> callToConfirm() {
		if (!this.isListed || !this.isConnected) {
			return CompletableFuture.completedFuture(false);
		}
		long openedMs = this.timer.nowMs();
		long afterVersion = this.lastVersion;
		return this.store.watch(this.kind, afterVersion, CONFIRMATION_WAIT_MS).handle((result, error) -> {
			if (error != null) {
				changeState(() -> this.isConfirmationFailed = true);
				return CompletableFuture.completedFuture(false);
			}
			this.isConfirmationFailed = false;
			this.health.recordSuccess();
			if (result.isReset() || !this.isListed) {
				return CompletableFuture.completedFuture(false);
			}
			if (this.lastVersion == afterVersion) {
				apply(result, openedMs);
				this.lastVersion = Math.max(this.lastVersion, result.version());
			}
			else if (result.events().isEmpty()) {
				this.lastVersion = Math.max(this.lastVersion, result.version());
			}
			else if (result.version() > this.lastVersion) {
				return callToConfirm();
			}
			recordVerified(openedMs);
			return CompletableFuture.completedFuture(true);
		}).thenCompose((confirmed) -> confirmed);
	}

	private void watch() {
		if (!this.sharing.isWatchNeeded(this.kind)) {
			this.isPaused = true;
			return;
		}
		long openedMs = this.timer.nowMs();
		long afterVersion = this.lastVersion;
		long timeoutMs = (this.consecutiveFailures > 0 || this.isProbing)
				? Math.min(PROBE_TIMEOUT_MS, this.watchTimeoutMs) : this.watchTimeoutMs;
		this.store.watch(this.kind, afterVersion, timeoutMs).whenComplete((result, error) -> {
			if (error != null) {
				onFailure(error, openedMs);
				return;
			}
			onSuccess();
			if (result.isReset()) {
				this.events.record("store.history-gone", "kind", this.kind, "revision", this.lastVersion);
				changeState(() -> this.isListed = false);
				list();
				return;
			}
			// A confirmation or another instance may have brought these changes and later
			// ones.
			boolean isOutdated = this.lastVersion != afterVersion;
			if (isOutdated) {
				applyShared(afterVersion, result.version(), openedMs,
						ChangeRevisions.of(result.events(), afterVersion, result.version()));
			}
			else {
				apply(result, openedMs);
				this.lastVersion = Math.max(this.lastVersion, result.version());
				recordVerified(openedMs);
			}
			this.lastResponseMs = this.timer.nowMs();
			if (this.batchDelayMs == 0 || (result.events().isEmpty() && !isOutdated)) {
				watch();
			}
			else {
				this.timer.schedule(this.batchDelayMs, this::watch);
			}
		});
	}

	private void recordVerified(long atMs) {
		this.verifiedMs = Math.max(this.verifiedMs, atMs);
	}

	private void apply(StoreWatchResult result, long openedMs) {
		List<StoreEvent> changes = result.events();
		if (!changes.isEmpty()) {
			long afterVersion = this.lastVersion;
			this.lastVersion = Math.max(this.lastVersion, result.version());
			this.events.record("store.changed", "kind", this.kind, "revision", this.lastVersion, "changes",
					changes.size(), "unwatchedMs", openedMs - this.lastResponseMs, "verifiedAgeMs",
					this.timer.nowMs() - this.verifiedMs);
			notifyListener(() -> this.listener.changed(changes));
			this.sharing.changed(this.kind, ChangeRevisions.of(changes, afterVersion, this.lastVersion),
					this.lastVersion);
		}
	}

	private void changeState(Runnable change) {
		boolean wasFollowed = isFollowed();
		change.run();
		if (wasFollowed && !isFollowed()) {
			notifyListener(() -> this.interruptionListeners.forEach(InterruptionListener::interrupted));
		}
	}

	// What a listener can't handle must not end the watch, also not if it exhausts the
	// stack.
	private void notifyListener(Runnable notification) {
		try {
			notification.run();
		}
		catch (RuntimeException | Error ex) {
			this.events.record("store.listener-failed", "kind", this.kind, "revision", this.lastVersion, "error", ex);
		}
	}

	private void onSuccess() {
		this.consecutiveFailures = 0;
		this.isConfirmationFailed = false;
		this.isProbing = false;
		this.health.recordSuccess();
		if (!this.isConnected) {
			this.isConnected = true;
			this.events.record("store.regained", "kind", this.kind, "afterMs",
					Math.min(this.health.timeSinceFailureMs(), MAX_REPORTED_OUTAGE_MS));
		}
	}

	private void onFailure(Throwable error, long openedMs) {
		// The others show that the store answers; only this instance doesn't reach it.
		if (this.isListed && !this.sharing.isWatchNeeded(this.kind)) {
			this.isPaused = true;
			return;
		}
		Throwable cause = StoreException.causeOf(error);
		if (this.isConnected || this.consecutiveFailures == 0) {
			this.events.record("store.lost", "kind", this.kind, "revision", this.lastVersion, "unansweredMs",
					this.timer.nowMs() - openedMs, "error", String.valueOf(cause.getMessage()));
		}
		changeState(() -> this.isConnected = false);
		this.health.recordFailure();
		long backoffMs = Math.min(MAX_BACKOFF_MS,
				INITIAL_BACKOFF_MS << Math.min(this.consecutiveFailures, MAX_BACKOFF_DOUBLINGS));
		this.consecutiveFailures++;
		long jitteredBackoffMs = backoffMs / 2 + this.random.nextLong(backoffMs / 2 + 1);
		this.timer.schedule(jitteredBackoffMs, this.isListed ? this::watch : this::list);
	}

}
