package dev.nutmegdoor.core.membership;

/**
 * Settings of the membership controller.
 *
 * @param heartbeatMs period of heartbeats in milliseconds
 * @param suspectAfterMs silence of a neighbour after which it is suspect, in milliseconds
 * @param zoneSuspectAfterMs silence of a whole zone after which its instances are
 * suspect, in milliseconds
 * @param goneAfterMs silence after which an instance is gone, in milliseconds
 * @param directoryMs period of reading the platform's list in milliseconds
 * @param tombstoneMs how long an instance that is gone is remembered, in milliseconds
 * @param ringNeighbours successors in the own zone that receive every heartbeat
 * @param floodFanOut instances to which a change of state is passed on at once
 */
public record MembershipSettings(long heartbeatMs, long suspectAfterMs, long zoneSuspectAfterMs, long goneAfterMs,
		long directoryMs, long tombstoneMs, int ringNeighbours, int floodFanOut) {

	/**
	 * Defaults. A zone is suspect a second later than a neighbour, because news of a zone
	 * can take one more heartbeat through an instance of the own zone.
	 */
	public static final MembershipSettings DEFAULT = new MembershipSettings(1000, 3000, 4000, 30_000, 30_000, 600_000,
			2, 4);

}
