package dev.nutmegdoor.core.key;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.time.Subscription;

/**
 * Tracks the running streams by the key with which they were started. Thread-safe.
 */
final class KeyStreams {

	private final Map<KeyId, Set<Entry>> streams = new HashMap<>();

	/**
	 * Registers a stream.
	 * @param key key with which the stream was started
	 * @param endStream ends the stream; called by {@link #end(KeyId)} until the
	 * subscription is cancelled
	 * @return a subscription to cancel when the stream has ended
	 */
	synchronized Subscription open(KeyId key, Runnable endStream) {
		Entry entry = new Entry(endStream);
		this.streams.computeIfAbsent(key, (id) -> new HashSet<>()).add(entry);
		return () -> close(key, entry);
	}

	void end(KeyId key) {
		List<Entry> entries;
		synchronized (this) {
			entries = new ArrayList<>(this.streams.getOrDefault(key, Set.of()));
		}
		entries.forEach((entry) -> entry.endStream.run());
	}

	synchronized Set<KeyId> keys() {
		return Set.copyOf(this.streams.keySet());
	}

	synchronized int count() {
		return this.streams.values().stream().mapToInt(Set::size).sum();
	}

	private synchronized void close(KeyId key, Entry entry) {
		Set<Entry> entries = this.streams.get(key);
		if (entries != null) {
			entries.remove(entry);
			if (entries.isEmpty()) {
				this.streams.remove(key);
			}
		}
	}

	private static final class Entry {

		private final Runnable endStream;

		private Entry(Runnable endStream) {
			this.endStream = endStream;
		}

	}

}
