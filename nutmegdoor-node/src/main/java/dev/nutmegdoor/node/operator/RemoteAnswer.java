package dev.nutmegdoor.node.operator;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to a {@link RemoteQuery}.
 *
 * @param json the answer as JSON
 */
public record RemoteAnswer(String json) implements PeerMessage {

}
