package dev.nutmegdoor.core.route;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Upstream;

/**
 * A replica as listed in the platform's store.
 *
 * @param upstream the replica
 * @param startedMs Unix time of its start in milliseconds, or 0 if the entry doesn't
 * contain it. A replica that restarts under the same identifier has lost its previous
 * state
 * @param sequence number of the entry, which the replica increments with each update; it
 * starts again when the replica restarts
 * @param coldLeftMs time in milliseconds for which the replica remains cold, 0 if it is
 * warm, or {@code null} if the entry does not state it
 */
public record ListedReplica(Upstream upstream, long startedMs, long sequence, @Nullable Long coldLeftMs) {

	public ListedReplica(Upstream upstream, long startedMs, long sequence) {
		this(upstream, startedMs, sequence, null);
	}

}
