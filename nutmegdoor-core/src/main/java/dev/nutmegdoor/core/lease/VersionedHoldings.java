package dev.nutmegdoor.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The own holdings, with the version at which each entry last changed. An entry with the
 * value 0 is the same as no entry; zeros are kept for a while, so that witnesses learn of
 * them.
 */
final class VersionedHoldings {

	/** Start of a message that contains all entries. */
	static final long FROM_NOTHING = -1;

	private static final int MAX_ZEROS = 1000;

	private final Map<String, Long> values = new TreeMap<>();

	private final Map<String, Long> changedAt = new HashMap<>();

	private long version;

	private long prunedVersion;

	private int zeros;

	/**
	 * Sets entries.
	 * @param changes new values
	 * @return the version that includes them
	 */
	long set(Map<String, Long> changes) {
		this.version++;
		changes.forEach((name, value) -> {
			this.values.put(name, value);
			this.changedAt.put(name, this.version);
			this.zeros += (value == 0) ? 1 : 0;
		});
		if (this.zeros > MAX_ZEROS) {
			this.values.values().removeIf((value) -> value == 0);
			this.changedAt.keySet().retainAll(this.values.keySet());
			this.prunedVersion = this.version;
			this.zeros = 0;
		}
		return this.version;
	}

	/**
	 * Returns where a message to a witness has to start.
	 * @param knownVersion version that the witness has
	 * @return that version, or {@link #FROM_NOTHING} if removals since then were pruned
	 */
	long startFor(long knownVersion) {
		return (knownVersion < this.prunedVersion) ? FROM_NOTHING : knownVersion;
	}

	Map<String, Long> changesSince(long start) {
		if (start == this.version) {
			return Map.of();
		}
		Map<String, Long> changes = new TreeMap<>();
		this.values.forEach((name, value) -> {
			if (this.changedAt.getOrDefault(name, 0L) > start) {
				changes.put(name, value);
			}
		});
		return changes;
	}

	long version() {
		return this.version;
	}

	Map<String, Long> snapshot() {
		Map<String, Long> snapshot = new TreeMap<>(this.values);
		snapshot.values().removeIf((value) -> value == 0);
		return snapshot;
	}

	int size() {
		return this.values.size();
	}

}
