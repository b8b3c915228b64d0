package dev.nutmegdoor.core.limit;

import java.util.List;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Delivers all grants of a donor that the receiver has not acknowledged. Donor and
 * sequence identify a grant, so the receiver detects duplicate and delayed ones.
 *
 * @param giver donor that made the grants; differs from the sender if the sender has
 * taken over the holdings of the donor
 * @param grants grants by ascending sequence
 */
public record ShareTransfer(InstanceId giver, List<ShareGrant> grants) implements PeerMessage {

	public ShareTransfer {
		grants = List.copyOf(grants);
	}

}
