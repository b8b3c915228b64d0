package dev.nutmegdoor.core.store;

import java.util.List;

/**
 * Result of one watch call.
 *
 * @param events changes after the requested version, oldest first; empty if none occurred
 * before the timeout
 * @param version version from which the next watch continues
 * @param isReset {@code true} if the store no longer retains the changes after the
 * requested version, so that the caller has to list the objects again
 */
public record StoreWatchResult(List<StoreEvent> events, long version, boolean isReset) {

	public StoreWatchResult {
		events = List.copyOf(events);
	}

}
