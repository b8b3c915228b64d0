package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Outcome of a forwarded call. The home resends it until it is acknowledged or a maximum
 * number of attempts is reached. Either the result or the refusal is set.
 *
 * @param callId identifier of the call
 * @param result complete result, or {@code null} if the call was refused or failed
 * @param refusal reason why there is no result, or {@code null}
 */
public record CallOutcome(String callId, @Nullable CallResult result,
		@Nullable Refusal refusal) implements PeerMessage {

}
