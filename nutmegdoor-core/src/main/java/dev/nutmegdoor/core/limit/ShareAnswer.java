package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to {@link ShareRequest}.
 *
 * @param grantedUnits units that a transfer will bring
 * @param units units left
 * @param tokensMicro micro-tokens left
 * @param isOverloaded whether the giver's own demand exceeds its share
 */
public record ShareAnswer(long grantedUnits, long units, long tokensMicro,
		boolean isOverloaded) implements PeerMessage {

}
