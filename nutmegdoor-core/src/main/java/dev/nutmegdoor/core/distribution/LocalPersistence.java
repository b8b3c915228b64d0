package dev.nutmegdoor.core.distribution;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Port of the small disk that a few instances have under their data folder. What it holds
 * is a hint from an earlier run, never the only copy. Writes take effect in their order
 * and may be lost in a crash. Futures complete on the control thread.
 */
public interface LocalPersistence {

	/** Persistence of an instance without a disk. */
	LocalPersistence NONE = new LocalPersistence() {

		@Override
		public CompletableFuture<Map<String, String>> load() {
			return CompletableFuture.completedFuture(Map.of());
		}

		@Override
		public void put(String name, String value) {
		}

		@Override
		public void remove(String name) {
		}

	};

	/**
	 * Reads all entries.
	 * @return values by name; empty if there are none or they can't be read
	 */
	CompletableFuture<Map<String, String>> load();

	/**
	 * Writes an entry in the background.
	 * @param name name of letters, digits, dots and hyphens
	 * @param value the value
	 */
	void put(String name, String value);

	/**
	 * Removes an entry in the background.
	 * @param name name of the entry
	 */
	void remove(String name);

}
