package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to {@link ShareRequest}.
 *
 * @param grantedUnits units that a separate {@link ShareTransfer} delivers; 0 if none
 * @param units units that the donor has left
 * @param tokensMicro micro-tokens that the donor has left
 * @param isOverloaded whether the donor's local demand exceeds its share
 */
public record ShareAnswer(long grantedUnits, long units, long tokensMicro,
		boolean isOverloaded) implements PeerMessage {

}
