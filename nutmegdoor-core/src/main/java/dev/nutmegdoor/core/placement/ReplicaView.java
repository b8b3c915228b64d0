package dev.nutmegdoor.core.placement;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * What an instance knows of a replica at the time of a decision.
 *
 * @param id the replica
 * @param crossingMs additional round trip to the replica's zone in milliseconds
 * @param ownInFlight calls of this instance that the replica has
 * @param othersInFlight estimated calls of other instances that the replica has
 * @param othersAgeMs age of that estimate in milliseconds
 * @param ownAtReport calls of this instance that the last load report counts
 * @param freeAtReport places that were free in that report; negative if calls waited
 * @param backlogTokens prompt tokens known to wait for prefill
 * @param cachedTokens tokens of the prompt that the replica is expected to have cached
 * @param freeCacheTokens free cache memory in tokens, as last reported
 * @param maxConcurrentCalls calls that the replica runs at once
 * @param slowFactor observed time over expected time, 1 for a healthy replica
 * @param isEjected whether outlier detection excludes the replica
 */
public record ReplicaView(UpstreamId id, double crossingMs, int ownInFlight, int othersInFlight, long othersAgeMs,
		int ownAtReport, int freeAtReport, long backlogTokens, int cachedTokens, long freeCacheTokens,
		int maxConcurrentCalls, double slowFactor, boolean isEjected) {

	int inFlight() {
		return this.ownInFlight + this.othersInFlight;
	}

}
