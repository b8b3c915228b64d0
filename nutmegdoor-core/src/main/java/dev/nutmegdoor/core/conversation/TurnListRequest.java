package dev.nutmegdoor.core.conversation;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.ledger.LedgerMember;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Request of a member for the identifiers of the turns that the receiver has and that the
 * requester is chosen to store, answered with {@link TurnList}.
 *
 * @param offset number of turns to skip after {@code after}
 * @param after last turn of the previous answer, so that turns that are added or expire
 * between two answers don't shift the list; {@code null} for the first answer
 * @param members all members as the requester knows them, which decide what it is chosen
 * to store; {@code null} if the turns of all groups are requested
 */
public record TurnListRequest(int offset, @Nullable TurnKey after,
		@Nullable List<LedgerMember> members) implements PeerMessage {

	public TurnListRequest {
		members = (members != null) ? List.copyOf(members) : null;
	}

}
