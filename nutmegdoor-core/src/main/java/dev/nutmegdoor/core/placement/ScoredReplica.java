package dev.nutmegdoor.core.placement;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * A candidate of a placement with its expected costs.
 *
 * @param id the replica
 * @param scoreMs sum of the costs in milliseconds; the candidate with the lowest sum is
 * chosen
 * @param waitMs expected wait for a slot in milliseconds
 * @param prefillMs time to prefill the prompt tokens that are not cached and those of
 * earlier calls, including evictions, in milliseconds
 * @param decodeMs time to generate the answer in milliseconds
 * @param crossingMs additional time for crossing zones in milliseconds
 * @param copyFrom replica whose cached prefix is copied first, or {@code null} if none is
 * copied
 * @param hasPlace whether the replica has a free slot for the call
 */
public record ScoredReplica(UpstreamId id, double scoreMs, double waitMs, double prefillMs, double decodeMs,
		double crossingMs, @Nullable UpstreamId copyFrom, boolean hasPlace) {

}
