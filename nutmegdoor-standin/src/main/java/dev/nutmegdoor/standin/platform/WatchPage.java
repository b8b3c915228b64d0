package dev.nutmegdoor.standin.platform;

import java.util.List;

import dev.nutmegdoor.core.store.StoreEvent;

/**
 * Answer to a watch.
 *
 * @param events changes, oldest first
 * @param version version from which the next watch continues
 * @param reset whether the requested version is no longer known
 */
record WatchPage(List<StoreEvent> events, long version, boolean reset) {

	boolean isFinal() {
		return this.reset || !this.events.isEmpty();
	}

}
