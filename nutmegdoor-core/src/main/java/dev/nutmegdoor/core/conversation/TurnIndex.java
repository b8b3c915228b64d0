package dev.nutmegdoor.core.conversation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * The turns that a member has, without their content. A turn expires no earlier than any
 * turn that continues it, also if the turns arrive in another order.
 */
final class TurnIndex {

	private final Map<TurnKey, Entry> entries = new HashMap<>();

	private int size;

	private long contentBytes;

	int size() {
		return this.size;
	}

	long contentBytes() {
		return this.contentBytes;
	}

	/**
	 * Returns a turn.
	 * @param key the turn
	 * @return the entry, or {@code null} if this member doesn't have the turn
	 */
	@Nullable Entry find(TurnKey key) {
		Entry entry = this.entries.get(key);
		return (entry != null && entry.isPresent) ? entry : null;
	}

	/**
	 * Adds a turn or extends the time for which it is kept.
	 * @param turn the turn
	 * @param nowMs current time in milliseconds
	 */
	void add(TurnSummary turn, long nowMs) {
		Entry entry = this.entries.computeIfAbsent(turn.key(), Entry::new);
		if (!entry.isPresent) {
			entry.isPresent = true;
			entry.previous = (turn.previousId() != null) ? new TurnKey(turn.key().workspace(), turn.previousId())
					: null;
			entry.group = turn.group();
			entry.contentBytes = turn.contentBytes();
			this.size++;
			this.contentBytes += entry.contentBytes;
		}
		entry.expiresAtMs = Math.max(entry.expiresAtMs, nowMs + turn.keepMs());
		extend(entry.previous, entry.expiresAtMs);
	}

	/**
	 * Keeps a turn and the turns before it at least until the given time.
	 * @param key the turn; an absent one is remembered until then, so that the time also
	 * applies if it arrives later
	 * @param expiresAtMs time in milliseconds
	 */
	void extend(@Nullable TurnKey key, long expiresAtMs) {
		TurnKey current = key;
		while (current != null) {
			Entry entry = this.entries.computeIfAbsent(current, Entry::new);
			// The turns before it are kept at least as long, see add().
			if (entry.expiresAtMs >= expiresAtMs) {
				return;
			}
			entry.expiresAtMs = expiresAtMs;
			current = entry.previous;
		}
	}

	/**
	 * Removes a turn whose content is lost, but not what is known of its retention.
	 * @param key the turn
	 */
	void lose(TurnKey key) {
		Entry entry = find(key);
		if (entry != null) {
			entry.isPresent = false;
			this.size--;
			this.contentBytes -= entry.contentBytes;
		}
	}

	/**
	 * Removes the turns that have expired.
	 * @param nowMs current time in milliseconds
	 * @return the removed turns
	 */
	List<TurnKey> expire(long nowMs) {
		List<TurnKey> expired = new ArrayList<>();
		Iterator<Entry> iterator = this.entries.values().iterator();
		while (iterator.hasNext()) {
			Entry entry = iterator.next();
			if (entry.expiresAtMs <= nowMs) {
				iterator.remove();
				if (entry.isPresent) {
					this.size--;
					this.contentBytes -= entry.contentBytes;
					expired.add(entry.key);
				}
			}
		}
		return expired;
	}

	/**
	 * Returns whether a turn that this member has continues one of the given turns.
	 * @param keys turns that have been removed
	 * @return {@code true} if a chain has lost its beginning
	 */
	boolean continuesAnyOf(Collection<TurnKey> keys) {
		return !keys.isEmpty() && this.entries.values()
			.stream()
			.anyMatch((entry) -> entry.isPresent && entry.previous != null && keys.contains(entry.previous));
	}

	Collection<Entry> all() {
		return this.entries.values().stream().filter((entry) -> entry.isPresent).toList();
	}

	/**
	 * Returns all turns in the order of their keys.
	 * @param after key after which the list starts, or {@code null}
	 * @return the turns, ordered by workspace and identifier
	 */
	List<Entry> sortedAfter(@Nullable TurnKey after) {
		Comparator<TurnKey> order = Comparator.comparing(TurnKey::workspace).thenComparing(TurnKey::id);
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.isPresent && (after == null || order.compare(entry.key, after) > 0))
			.sorted(Comparator.comparing((entry) -> entry.key, order))
			.toList();
	}

	/** A turn, or an absent turn that a present one continues. */
	static final class Entry {

		private final TurnKey key;

		private boolean isPresent;

		private @Nullable TurnKey previous;

		private String group = "";

		private long contentBytes;

		private long expiresAtMs = Long.MIN_VALUE;

		private Entry(TurnKey key) {
			this.key = key;
		}

		TurnKey key() {
			return this.key;
		}

		@Nullable TurnKey previous() {
			return this.previous;
		}

		String group() {
			return this.group;
		}

		long contentBytes() {
			return this.contentBytes;
		}

		long expiresAtMs() {
			return this.expiresAtMs;
		}

	}

}
