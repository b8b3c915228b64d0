package dev.nutmegdoor.core.conversation;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Request of a member for the identifiers of the turns that the receiver has and that the
 * requester is chosen to store, answered with {@link TurnList}.
 *
 * @param offset number of turns to skip, which earlier answers contained
 */
public record TurnListRequest(int offset) implements PeerMessage {

}
