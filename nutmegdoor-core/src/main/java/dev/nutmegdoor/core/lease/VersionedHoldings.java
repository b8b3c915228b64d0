package dev.nutmegdoor.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holdings of this instance, with the version at which each entry last changed. An entry
 * with the value 0 is equivalent to no entry; such entries are kept until there are more
 * than {@value #MAX_ZERO_ENTRIES}, so that witnesses receive the removal.
 */
final class VersionedHoldings {

	/** Start version of a heartbeat that contains all entries. */
	static final long ALL_ENTRIES = -1;

	private static final int MAX_ZERO_ENTRIES = 1000;

	private final Map<String, Long> values = new TreeMap<>();

	private final Map<String, Long> changeVersions = new HashMap<>();

	private long version;

	private long prunedAtVersion;

	private int zeroCount;

	/**
	 * Sets entries and increments the version.
	 * @param changes new values by name; 0 removes an entry
	 * @return version that includes the changes
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
	 * Returns the version from which a heartbeat to a witness must include changes.
	 * @param witnessVersion version of the holdings that the witness stores
	 * @return that version, or {@link #ALL_ENTRIES} if removed entries were pruned since
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
