package dev.nutmegdoor.standin.platform;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts requests by kind and rejection status, closed connections and written bytes.
 * Safe for use by several threads.
 */
final class CallStatistics {

	private final Map<String, Long> counts = new TreeMap<>();

	synchronized void add(String name, long amount) {
		this.counts.merge(name, amount, Long::sum);
	}

	synchronized Map<String, Long> snapshot() {
		return new TreeMap<>(this.counts);
	}

}
