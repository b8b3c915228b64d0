package dev.nutmegdoor.core.placement;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * A candidate with its expected costs.
 *
 * @param id the replica
 * @param scoreMs sum of the costs in milliseconds; the lowest wins
 * @param waitMs expected wait for a place
 * @param prefillMs time for prompt tokens that are not cached and for those ahead
 * @param decodeMs time for the answer
 * @param crossingMs time for crossing zones
 * @param copyFrom replica whose cached prefix is to be copied first, or {@code null}
 * @param hasPlace whether the replica may get the call now
 */
public record ScoredReplica(UpstreamId id, double scoreMs, double waitMs, double prefillMs, double decodeMs,
		double crossingMs, @Nullable UpstreamId copyFrom, boolean hasPlace) {

}
