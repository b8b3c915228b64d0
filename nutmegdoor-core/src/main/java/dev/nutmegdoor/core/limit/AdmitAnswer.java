package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to {@link AdmitRequest}.
 *
 * @param isAdmitted whether the request is admitted
 * @param retryAfterMs if not, time until a token can be expected in milliseconds
 * @param rule rule that decided
 * @param units units of the holder
 * @param tokensMicro micro-tokens left at the holder
 * @param isOverloaded whether the holder's own demand exceeds its share
 */
public record AdmitAnswer(boolean isAdmitted, long retryAfterMs, String rule, long units, long tokensMicro,
		boolean isOverloaded) implements PeerMessage {

}
