package dev.nutmegdoor.core.distribution;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Stores small entries in the data folder on the local disk, which only a few instances
 * have. The content is a hint from an earlier run and never the only copy. Writes take
 * effect in the order of the calls and may be lost in a crash. Futures complete on the
 * control thread.
 */
public interface LocalPersistence {

	/** Stores nothing; for instances without a disk. */
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
	 * @return values by name; empty if there are none or they cannot be read
	 */
	CompletableFuture<Map<String, String>> load();

	/**
	 * Adds or replaces an entry in the background.
	 * @param name name that consists of letters, digits, dots and hyphens
	 * @param value new value of the entry
	 */
	void put(String name, String value);

	/**
	 * Removes an entry in the background.
	 * @param name name of the entry, which need not exist
	 */
	void remove(String name);

}
