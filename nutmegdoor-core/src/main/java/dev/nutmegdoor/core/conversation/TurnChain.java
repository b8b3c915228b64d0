package dev.nutmegdoor.core.conversation;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.ledger.LedgerMember;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to {@link TurnQuery} with a turn and the turns before it, as far as the sender
 * has them and as many as fit into one message.
 *
 * @param isComplete whether the sender has all turns that it has ever confirmed, so that
 * the absence of a turn is meaningful
 * @param turns the named turn and its predecessors, newest first; empty if the sender
 * does not have the named turn
 * @param missingId identifier of the next predecessor, which the answer does not contain,
 * or {@code null} if the chain is whole or the named turn is absent
 * @param members the sender's list of ledger members, empty if the requester knows the
 * same
 */
public record TurnChain(boolean isComplete, List<StoredTurn> turns, @Nullable String missingId,
		List<LedgerMember> members) implements PeerMessage {

	public TurnChain {
		turns = List.copyOf(turns);
		members = List.copyOf(members);
	}

}
