package dev.nutmegdoor.core.lease;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks a witness to concur in fencing a holder.
 *
 * @param holder the holder
 * @param epoch epoch of the lease that is to end
 */
public record ConcurrenceRequest(InstanceId holder, long epoch) implements PeerMessage {

}
