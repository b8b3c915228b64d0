package dev.nutmegdoor.core.placement;

/**
 * How the replicas of a service behave while they are cold: slow after their start, and
 * at risk of a crash if they receive too many requests.
 *
 * @param durationMs time in milliseconds after its start for which a replica is cold
 * unless it states otherwise
 * @param requestsPerSecond rate of requests from all instances that a cold replica
 * accepts, above 0
 */
public record ColdStart(long durationMs, double requestsPerSecond) {

}
