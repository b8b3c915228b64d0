package dev.nutmegdoor.core.lease;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Reply of a witness to a {@link LeaseBeat}.
 *
 * @param isAccepted {@code false} if the witness has concurred in fencing this epoch
 * @param version latest version of the holder's holdings that the witness stores
 */
public record LeaseBeatAnswer(boolean isAccepted, long version) implements PeerMessage {

}
