package dev.nutmegdoor.core.limit;

import java.util.List;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * All grants of a giver to the receiver that it has not acknowledged. The giver and the
 * sequence identify a grant, so that a duplicate or late one is recognised.
 *
 * @param giver instance that made the grants; not the sender, if the sender has taken
 * over the holdings of the giver
 * @param grants the grants by rising sequence
 */
public record ShareTransfer(InstanceId giver, List<ShareGrant> grants) implements PeerMessage {

	public ShareTransfer {
		grants = List.copyOf(grants);
	}

}
