package dev.nutmegdoor.core.quarantine;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Crash of a replica that had a request, as instances tell each other.
 *
 * @param replica the replica
 * @param sentAgeMs time since the request was sent to it in milliseconds
 * @param ageMs time since the crash in milliseconds
 */
public record ReplicaCrash(UpstreamId replica, long sentAgeMs, long ageMs) {

}
