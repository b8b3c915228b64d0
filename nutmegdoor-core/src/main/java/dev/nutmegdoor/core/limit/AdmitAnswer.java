package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to {@link AdmitRequest}.
 *
 * @param isAdmitted whether the request is admitted
 * @param retryAfterMs if rejected, estimated time until a token is available in
 * milliseconds
 * @param rule name of the rule that decided
 * @param units units that the holder has
 * @param tokensMicro micro-tokens left in the holder's bucket
 * @param isOverloaded whether the holder's local demand exceeds its share
 */
public record AdmitAnswer(boolean isAdmitted, long retryAfterMs, String rule, long units, long tokensMicro,
		boolean isOverloaded) implements PeerMessage {

}
