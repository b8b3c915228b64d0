package dev.nutmegdoor.core.conversation;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Confirms that the turn of a {@link TurnStore} is on the disk of the sender.
 *
 * @param key workspace and identifier of the turn
 */
public record TurnStored(TurnKey key) implements PeerMessage {

}
