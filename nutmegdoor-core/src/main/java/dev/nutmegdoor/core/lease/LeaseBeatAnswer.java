package dev.nutmegdoor.core.lease;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer of a witness to {@link LeaseBeat}.
 *
 * @param isAccepted {@code false} if the witness concurred in fencing this epoch
 * @param version version of the holdings that the witness has
 */
public record LeaseBeatAnswer(boolean isAccepted, long version) implements PeerMessage {

}
