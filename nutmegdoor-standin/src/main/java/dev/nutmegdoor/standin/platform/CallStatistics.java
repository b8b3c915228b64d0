package dev.nutmegdoor.standin.platform;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts calls by their kind and written bytes. May be called from any thread.
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
