package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.program.PartitionHint;

/**
 * Answer to a forwarded call: whether the receiver is the home and runs it.
 *
 * @param callId identifier of the call
 * @param isAccepted whether the receiver runs the call or has run it
 * @param hint newest record of the partition that the receiver knows, or {@code null}
 */
public record CallAccepted(String callId, boolean isAccepted, @Nullable PartitionHint hint) implements PeerMessage {

}
