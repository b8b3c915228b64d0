package dev.nutmegdoor.core.membership;

/**
 * Settings of a {@link MembershipController}.
 *
 * @param heartbeatMs interval between heartbeats, in milliseconds
 * @param suspectAfterMs time without a heartbeat after which a neighbour is suspect, in
 * milliseconds
 * @param zoneSuspectAfterMs time without a heartbeat from any instance of a zone after
 * which all its instances are suspect, in milliseconds
 * @param goneAfterMs time without a heartbeat after which an instance is gone, in
 * milliseconds
 * @param directoryMs mean interval between reads of the platform's list, in milliseconds
 * @param tombstoneMs time for which the entry of a gone instance is kept, in milliseconds
 * @param ringNeighbours number of successors in the same zone that receive every
 * heartbeat
 * @param floodFanOut number of instances to which a state change is forwarded immediately
 */
public record MembershipSettings(long heartbeatMs, long suspectAfterMs, long zoneSuspectAfterMs, long goneAfterMs,
		long directoryMs, long tombstoneMs, int ringNeighbours, int floodFanOut) {

	/**
	 * Default settings. A zone becomes suspect a second later than a neighbour, because
	 * the age of its last heartbeat may arrive through another instance of this zone,
	 * which takes one more heartbeat interval.
	 */
	public static final MembershipSettings DEFAULT = new MembershipSettings(1000, 3000, 4000, 30_000, 30_000, 600_000,
			2, 4);

}
