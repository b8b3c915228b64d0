package dev.nutmegdoor.core.lease;

import java.util.Map;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Heartbeat of a lease holder to a witness, with the changes of its holdings. The witness
 * replies with a {@link LeaseBeatAnswer}.
 *
 * @param epoch epoch of the holder's lease
 * @param sinceVersion version of the holdings to which the changes apply; -1 if
 * {@code changes} contains all entries
 * @param version version of the holdings after the changes
 * @param changes entries changed after {@code sinceVersion}, with their values at
 * {@code version}; 0 removes an entry
 */
public record LeaseBeat(long epoch, long sinceVersion, long version, Map<String, Long> changes) implements PeerMessage {

	public LeaseBeat {
		changes = Map.copyOf(changes);
	}

}
