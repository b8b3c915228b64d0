package dev.nutmegdoor.core.watch;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.store.ListWatcher;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.time.TimerService;

/**
 * One kind whose changes are shared, with what is known of its age.
 */
final class SharedList {

	private final ListWatcher watcher;

	private final TimerService timer;

	private final ChangeBuffer buffer;

	private long sharedVerifiedMs = WatchSource.NEVER_MS;

	private long missingRevision;

	private long verificationMs = WatchSource.NEVER_MS;

	private long jitterMs;

	private long fallbacks;

	SharedList(ListWatcher watcher, TimerService timer, SharedWatchSettings settings) {
		this.watcher = watcher;
		this.timer = timer;
		this.buffer = new ChangeBuffer(settings);
	}

	ListWatcher watcher() {
		return this.watcher;
	}

	ChangeBuffer buffer() {
		return this.buffer;
	}

	/**
	 * Records that the objects have been listed.
	 * @param revision revision of the list; lower than before if the store was restored
	 */
	void listed(long revision) {
		this.buffer.reset(revision);
		this.missingRevision = 0;
	}

	/**
	 * Returns the latest time for which a watching instance has shown that nothing is
	 * missing here.
	 * @return time in milliseconds, a very small number if a change is known to be
	 * missing
	 */
	long sharedVerifiedMs() {
		return (this.watcher.revision() >= this.missingRevision) ? this.sharedVerifiedMs : WatchSource.NEVER_MS;
	}

	void recordShared(long verifiedMs) {
		this.sharedVerifiedMs = Math.max(this.sharedVerifiedMs, verifiedMs);
	}

	/**
	 * Records that changes up to a revision exist and can be had from the store only.
	 * @param revision revision of the latest of these changes
	 */
	void recordMissing(long revision) {
		this.missingRevision = Math.max(this.missingRevision, revision);
	}

	/**
	 * Returns whether the store has to be asked for another proof of its state.
	 * @param ageMs age of the last proof in milliseconds from which it is asked
	 * @param intervalMs minimum time between two questions in milliseconds
	 * @return {@code false} if others show the state
	 */
	boolean isVerificationDue(long ageMs, long intervalMs) {
		return verifiedAgeMs() >= ageMs && this.timer.nowMs() - this.verificationMs >= intervalMs
				&& !this.watcher.isPaused();
	}

	CompletableFuture<Boolean> verify() {
		this.verificationMs = this.timer.nowMs();
		return this.watcher.confirm();
	}

	long jitterMs() {
		return this.jitterMs;
	}

	void setJitterMs(long jitterMs) {
		this.jitterMs = jitterMs;
	}

	long fallbacks() {
		return this.fallbacks;
	}

	void countFallback() {
		this.fallbacks++;
	}

	KindUpdate state() {
		return update(this.buffer.lastRevision(), List.of());
	}

	KindUpdate change(long afterRevision, List<StoreEvent> changes) {
		return update(afterRevision, changes.stream().map(WatchedChange::of).toList());
	}

	/**
	 * Returns what a subscriber lacks, as far as it is remembered.
	 * @param revision revision up to which the subscriber has applied changes
	 * @return changes, or the state without changes if some are no longer remembered
	 */
	KindUpdate since(long revision) {
		return (revision >= this.buffer.baseRevision() && revision < this.buffer.lastRevision())
				? update(revision, this.buffer.after(revision)) : state();
	}

	/**
	 * Returns the time since it was last known that nothing is missing.
	 * @return milliseconds, a very large number before the first listing
	 */
	long verifiedAgeMs() {
		return this.timer.nowMs() - this.watcher.verifiedMs();
	}

	private KindUpdate update(long afterRevision, List<WatchedChange> changes) {
		return new KindUpdate(this.watcher.kind(), this.watcher.isWatching(), this.buffer.baseRevision(), afterRevision,
				this.watcher.revision(), verifiedAgeMs(), changes);
	}

}
