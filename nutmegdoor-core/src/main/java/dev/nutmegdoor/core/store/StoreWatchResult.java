package dev.nutmegdoor.core.store;

import java.util.List;

/**
 * Result of one watch call.
 *
 * @param events changes after the requested version, oldest first; empty if none occurred
 * before the timeout
 * @param version version from which the next watch continues
 * @param isReset {@code true} if the requested version is no longer known and the caller
 * has to list again
 */
public record StoreWatchResult(List<StoreEvent> events, long version, boolean isReset) {

	public StoreWatchResult {
		events = List.copyOf(events);
	}

}
