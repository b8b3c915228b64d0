package dev.nutmegdoor.core.lease;

import java.util.Map;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Sign of life of a holder to a witness, with changes of its holdings.
 *
 * @param epoch epoch of the lease
 * @param sinceVersion version of the holdings that the changes start from; -1 if they
 * contain all entries
 * @param version version of the holdings after the changes
 * @param changes entries changed since then, with their values at {@code version}; 0
 * removes an entry
 */
public record LeaseBeat(long epoch, long sinceVersion, long version, Map<String, Long> changes) implements PeerMessage {

	public LeaseBeat {
		changes = Map.copyOf(changes);
	}

}
