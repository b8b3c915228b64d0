package dev.nutmegdoor.core.route;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.RelayEnd;

/**
 * Metadata that a replica sends in the header of a response.
 *
 * @param attemptId identifier of the attempt that the response belongs to, or
 * {@code null} if the replica sent none
 * @param isDeclined whether the replica states that it did not run the request
 * @param isMisdirected whether the request reached another replica than the intended one,
 * because the address has been reassigned
 * @param load load of the replica, or {@code null} if it reported none
 * @param requestsPerSecond rate of requests that the replica accepts from all instances
 * together, 0 if it declared none
 * @param isLeaving whether the replica states that it is about to leave
 * @param coldMs time in milliseconds for which the replica remains cold, 0 if it is warm,
 * or {@code null} if it does not state it
 */
public record ResponseMetadata(@Nullable String attemptId, boolean isDeclined, boolean isMisdirected,
		RelayEnd.@Nullable ReportedLoad load, double requestsPerSecond, boolean isLeaving, @Nullable Long coldMs) {

}
