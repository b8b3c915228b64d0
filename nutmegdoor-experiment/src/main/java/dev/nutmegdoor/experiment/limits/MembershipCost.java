package dev.nutmegdoor.experiment.limits;

/**
 * Cost of membership and leases for one instance without traffic.
 *
 * @param instances instances of the fleet
 * @param zones zones of the fleet
 * @param messagesPerSecond messages that an instance sends a second on average
 * @param bytesPerSecond bytes of these messages as JSON; the frames between processes are
 * smaller
 * @param storeCallsPerSecond calls of the whole fleet to the store a second
 */
public record MembershipCost(int instances, int zones, double messagesPerSecond, double bytesPerSecond,
		double storeCallsPerSecond) {

}
