package dev.nutmegdoor.core.conversation;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Caches the turns that this process stored or read last, in bounded memory. Confined to
 * the control thread.
 */
final class TurnCache {

	/** Memory of an entry in addition to its contents, estimated. */
	private static final int ENTRY_BYTES = 256;

	private static final int INITIAL_CAPACITY = 16;

	private static final float LOAD_FACTOR = 0.75f;

	private final long maxBytes;

	private final Map<TurnKey, Entry> entries = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

	private long usedBytes;

	TurnCache(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	void put(StoredTurn turn, long nowMs) {
		Entry entry = new Entry(turn, nowMs + turn.retentionMs());
		Entry replaced = this.entries.put(turn.key(), entry);
		this.usedBytes += entry.bytes() - ((replaced != null) ? replaced.bytes() : 0);
		Iterator<Entry> eldest = this.entries.values().iterator();
		while (this.usedBytes > this.maxBytes && eldest.hasNext()) {
			this.usedBytes -= eldest.next().bytes();
			eldest.remove();
		}
	}

	@Nullable StoredTurn get(TurnKey key, long nowMs) {
		Entry entry = this.entries.get(key);
		if (entry == null) {
			return null;
		}
		if (entry.expiryMs() <= nowMs) {
			this.entries.remove(key);
			this.usedBytes -= entry.bytes();
			return null;
		}
		return entry.turn();
	}

	long usedBytes() {
		return this.usedBytes;
	}

	private record Entry(StoredTurn turn, long expiryMs) {

		private long bytes() {
			return (long) this.turn.input().length + this.turn.output().length + ENTRY_BYTES;
		}

	}

}
