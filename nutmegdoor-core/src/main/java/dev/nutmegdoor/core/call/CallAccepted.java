package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.program.PartitionHint;

/**
 * Answer to a {@link CallForward}: whether the receiver is the home of the call and runs
 * it.
 *
 * @param callId identifier of the call
 * @param isAccepted whether the receiver runs the call or has run it
 * @param hint newest partition record that the receiver has, or {@code null} if it has
 * none or accepts the call
 */
public record CallAccepted(String callId, boolean isAccepted, @Nullable PartitionHint hint) implements PeerMessage {

}
