package dev.nutmegdoor.core.placement;

import org.jspecify.annotations.Nullable;

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
 * @param workTime time that work takes at the replica; {@code null} if it does not state
 * that
 */
public record ReplicaView(UpstreamId id, double crossingMs, int ownInFlight, int othersInFlight, long othersAgeMs,
		int ownAtReport, int freeAtReport, long backlogTokens, int cachedTokens, long freeCacheTokens,
		int maxConcurrentCalls, double slowFactor, boolean isEjected, @Nullable WorkTime workTime) {

	/**
	 * Creates the view of a replica that does not state how long work takes.
	 * @param id the replica
	 * @param crossingMs additional round-trip time to the zone of the replica
	 * @param ownInFlight number of calls of this instance in flight at the replica
	 * @param othersInFlight estimated number of calls of other instances in flight there
	 * @param othersAgeMs age of that estimate in milliseconds
	 * @param ownAtReport number of calls of this instance in the last load report
	 * @param freeAtReport number of slots that were free in that report
	 * @param backlogTokens estimated number of prompt tokens that wait for prefill
	 * @param cachedTokens number of tokens of the prompt that are expected to be cached
	 * @param freeCacheTokens free cache memory in tokens
	 * @param maxConcurrentCalls number of slots
	 * @param slowFactor ratio of observed to expected response time
	 * @param isEjected whether outlier detection excludes the replica
	 */
	public ReplicaView(UpstreamId id, double crossingMs, int ownInFlight, int othersInFlight, long othersAgeMs,
			int ownAtReport, int freeAtReport, long backlogTokens, int cachedTokens, long freeCacheTokens,
			int maxConcurrentCalls, double slowFactor, boolean isEjected) {
		this(id, crossingMs, ownInFlight, othersInFlight, othersAgeMs, ownAtReport, freeAtReport, backlogTokens,
				cachedTokens, freeCacheTokens, maxConcurrentCalls, slowFactor, isEjected, null);
	}

	int inFlight() {
		return this.ownInFlight + this.othersInFlight;
	}

}
