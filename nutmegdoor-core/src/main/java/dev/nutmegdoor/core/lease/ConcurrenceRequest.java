package dev.nutmegdoor.core.lease;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Requests the concurrence of a witness in fencing a lease holder. The witness replies
 * with a {@link ConcurrenceAnswer}.
 *
 * @param holder instance whose lease is to be fenced
 * @param epoch epoch of the lease to be fenced
 */
public record ConcurrenceRequest(InstanceId holder, long epoch) implements PeerMessage {

}
