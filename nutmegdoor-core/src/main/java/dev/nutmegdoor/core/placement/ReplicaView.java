package dev.nutmegdoor.core.placement;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Snapshot of a replica at the time of a decision, as seen by one instance.
 *
 * @param id the replica
 * @param crossingMs additional round-trip time to the zone of the replica in
 * milliseconds, including the penalty for an unreachable zone
 * @param ownInFlight number of calls of this instance in flight at the replica
 * @param othersInFlight estimated number of calls of other instances in flight there
 * @param othersAgeMs age of that estimate in milliseconds
 * @param ownAtReport number of calls of this instance that the last load report includes
 * @param freeAtReport number of slots that were free in that report; negative if calls
 * were queued
 * @param backlogTokens estimated number of prompt tokens that wait for prefill
 * @param cachedTokens number of tokens of the prompt that the replica is expected to have
 * cached
 * @param freeCacheTokens free cache memory in tokens, as last reported
 * @param maxConcurrentCalls number of slots: calls that the replica runs concurrently
 * @param slowFactor ratio of observed to expected response time, 1 for a healthy replica
 * @param isEjected whether outlier detection excludes the replica
 */
public record ReplicaView(UpstreamId id, double crossingMs, int ownInFlight, int othersInFlight, long othersAgeMs,
		int ownAtReport, int freeAtReport, long backlogTokens, int cachedTokens, long freeCacheTokens,
		int maxConcurrentCalls, double slowFactor, boolean isEjected) {

	int inFlight() {
		return this.ownInFlight + this.othersInFlight;
	}

}
