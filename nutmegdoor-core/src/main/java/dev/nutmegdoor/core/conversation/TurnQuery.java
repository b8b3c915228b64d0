package dev.nutmegdoor.core.conversation;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Request for a turn and the turns before it, answered with {@link TurnChain}.
 *
 * @param key workspace and identifier of the newest turn
 * @param membersFingerprint fingerprint of the ledger members that the sender knows, so
 * that the answer contains the list only if it differs
 */
public record TurnQuery(TurnKey key, long membersFingerprint) implements PeerMessage {

}
