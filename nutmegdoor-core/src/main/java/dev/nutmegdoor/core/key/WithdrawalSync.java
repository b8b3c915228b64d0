package dev.nutmegdoor.core.key;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Requests the withdrawals that the sender may lack from another instance.
 *
 * @param bucketDigests digests of the sender's withdrawals by bucket
 */
public record WithdrawalSync(List<Long> bucketDigests) implements PeerMessage {

	public WithdrawalSync {
		bucketDigests = List.copyOf(bucketDigests);
	}

}
