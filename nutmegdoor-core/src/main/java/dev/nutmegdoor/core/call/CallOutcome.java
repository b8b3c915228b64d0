package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * End of a forwarded call; sent until it is acknowledged.
 *
 * @param callId identifier of the call
 * @param result whole answer, or {@code null}
 * @param refusal why there is none, or {@code null}
 */
public record CallOutcome(String callId, @Nullable CallResult result,
		@Nullable Refusal refusal) implements PeerMessage {

}
