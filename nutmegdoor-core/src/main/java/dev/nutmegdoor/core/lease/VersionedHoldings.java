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
	static final long ALL_ENTRIES = -1;

	private static final int MAX_ZERO_ENTRIES = 1000;

	private final Map<String, Long> values = new TreeMap<>();

	private final Map<String, Long> changeVersions = new HashMap<>();

	private long version;

	private long prunedAtVersion;

	private int zeroCount;

	/**
	 * Sets entries.
	 * @param changes new values
	 * @return the version that includes them
	 */
	long set(Map<String, Long> changes) {
		this.version++;
		changes.forEach((name, value) -> {
			this.values.put(name, value);
			this.changeVersions.put(name, this.version);
			this.zeroCount += (value == 0) ? 1 : 0;
		});
		if (this.zeroCount > MAX_ZERO_ENTRIES) {
			this.values.values().removeIf((value) -> value == 0);
			this.changeVersions.keySet().retainAll(this.values.keySet());
			this.prunedAtVersion = this.version;
			this.zeroCount = 0;
		}
		return this.version;
	}

	/**
	 * Returns where a message to a witness has to start.
	 * @param witnessVersion version that the witness has
	 * @return that version, or {@link #ALL_ENTRIES} if removals since then were pruned
	 */
	long sinceVersionFor(long witnessVersion) {
		return (witnessVersion < this.prunedAtVersion) ? ALL_ENTRIES : witnessVersion;
	}

	Map<String, Long> changesSince(long sinceVersion) {
		if (sinceVersion == this.version) {
			return Map.of();
		}
		Map<String, Long> changes = new TreeMap<>();
		this.values.forEach((name, value) -> {
			if (this.changeVersions.getOrDefault(name, 0L) > sinceVersion) {
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
