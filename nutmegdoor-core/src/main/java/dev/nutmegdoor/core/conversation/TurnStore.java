package dev.nutmegdoor.core.conversation;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Request to store a turn. It is answered with {@link TurnStored} once the turn is on the
 * disk, and fails if the receiver can't store it.
 *
 * @param turn the turn
 */
public record TurnStore(StoredTurn turn) implements PeerMessage {

}
