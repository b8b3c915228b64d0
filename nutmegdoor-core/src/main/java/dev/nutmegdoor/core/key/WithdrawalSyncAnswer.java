package dev.nutmegdoor.core.key;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Reply to {@link WithdrawalSync}.
 *
 * @param withdrawals withdrawals in the buckets whose digests differ, as many as fit into
 * one message
 * @param bucketDigests digests of the sender's withdrawals by bucket
 */
public record WithdrawalSyncAnswer(List<KeyWithdrawal> withdrawals, List<Long> bucketDigests) implements PeerMessage {

	public WithdrawalSyncAnswer {
		withdrawals = List.copyOf(withdrawals);
		bucketDigests = List.copyOf(bucketDigests);
	}

}
