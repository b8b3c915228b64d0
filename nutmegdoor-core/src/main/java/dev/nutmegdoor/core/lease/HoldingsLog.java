package dev.nutmegdoor.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The own holdings, with the version at which each entry last changed.
 */
final class HoldingsLog {

	private final Map<String, Long> values = new TreeMap<>();

	private final Map<String, Long> changedAt = new HashMap<>();

	private long version;

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
		});
		return this.version;
	}

	Map<String, Long> changesSince(long sinceVersion) {
		if (sinceVersion == this.version) {
			return Map.of();
		}
		Map<String, Long> changes = new TreeMap<>();
		this.values.forEach((name, value) -> {
			if (this.changedAt.getOrDefault(name, 0L) > sinceVersion) {
				changes.put(name, value);
			}
		});
		return changes;
	}

	long version() {
		return this.version;
	}

	Map<String, Long> snapshot() {
		return new TreeMap<>(this.values);
	}

	int size() {
		return this.values.size();
	}

}
