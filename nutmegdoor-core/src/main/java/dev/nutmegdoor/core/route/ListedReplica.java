package dev.nutmegdoor.core.route;

import dev.nutmegdoor.core.configuration.Upstream;

/**
 * A replica as the platform's store lists it.
 *
 * @param upstream the replica
 * @param startedMs Unix time of its start in milliseconds; 0 if it does not say. A
 * replica that starts again under the same identifier holds nothing of before
 */
public record ListedReplica(Upstream upstream, long startedMs) {

}
