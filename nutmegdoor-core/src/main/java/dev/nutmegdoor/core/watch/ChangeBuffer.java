package dev.nutmegdoor.core.watch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import dev.nutmegdoor.core.store.StoreEvent;

/**
 * The latest changes of a kind. Complete from a revision on, which moves forward as the
 * oldest changes are dropped.
 */
final class ChangeBuffer {

	private final SharedWatchSettings settings;

	private final Deque<WatchedChange> changes = new ArrayDeque<>();

	private int length;

	private long baseRevision;

	private long lastRevision;

	ChangeBuffer(SharedWatchSettings settings) {
		this.settings = settings;
	}

	long baseRevision() {
		return this.baseRevision;
	}

	/**
	 * Returns the revision after which no change is known.
	 * @return revision of the latest change or of the list
	 */
	long lastRevision() {
		return this.lastRevision;
	}

	int size() {
		return this.changes.size();
	}

	void reset(long revision) {
		this.changes.clear();
		this.length = 0;
		this.baseRevision = revision;
		this.lastRevision = revision;
	}

	void add(List<StoreEvent> events) {
		for (StoreEvent event : events) {
			WatchedChange change = WatchedChange.of(event);
			this.changes.addLast(change);
			this.length += change.length();
			this.lastRevision = Math.max(this.lastRevision, change.revision());
		}
		while (this.changes.size() > this.settings.bufferedChanges() || this.length > this.settings.bufferedLength()) {
			dropOldest();
		}
	}

	// Changes with the same revision are dropped together: a subscriber at that revision
	// has all of them.
	private void dropOldest() {
		WatchedChange oldest = this.changes.getFirst();
		this.baseRevision = Math.max(this.baseRevision, oldest.revision());
		while (!this.changes.isEmpty() && this.changes.getFirst().revision() <= this.baseRevision) {
			this.length -= this.changes.removeFirst().length();
		}
	}

	/**
	 * Returns the remembered changes after a revision.
	 * @param revision revision, at least {@link #baseRevision()}
	 * @return changes, oldest first
	 */
	List<WatchedChange> after(long revision) {
		return this.changes.stream().filter((change) -> change.revision() > revision).toList();
	}

}
