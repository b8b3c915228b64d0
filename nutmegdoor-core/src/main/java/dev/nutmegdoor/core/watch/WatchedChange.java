package dev.nutmegdoor.core.watch;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.store.StoreEvent;

/**
 * Change of an object.
 *
 * @param name name of the object within its kind
 * @param revision revision by which the change is applied once
 * @param value new content, or {@code null} if the object was deleted
 */
public record WatchedChange(String name, long revision, @Nullable String value) {

	static WatchedChange of(StoreEvent event) {
		return new WatchedChange(event.name(), event.version(), event.value());
	}

	int length() {
		return this.name.length() + ((this.value != null) ? this.value.length() : 0);
	}

}
