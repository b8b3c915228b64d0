package dev.nutmegdoor.core.route;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.RelayEnd;

/**
 * What the header of a replica's answer says beyond HTTP.
 *
 * @param attemptId attempt that the answer belongs to, or {@code null}
 * @param isDeclined whether the replica states that it did not run the request
 * @param isMisdirected whether another replica has the address
 * @param load load of the replica, or {@code null}
 */
public record ResponseMetadata(@Nullable String attemptId, boolean isDeclined, boolean isMisdirected,
		RelayEnd.@Nullable ReportedLoad load) {

}
