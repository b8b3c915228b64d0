package dev.nutmegdoor.core.key;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Sends withdrawals to another instance. If it is sent as a request, the receiver replies
 * with {@link WithdrawalReceipt} once it has applied them.
 *
 * @param withdrawals withdrawals to apply
 */
public record WithdrawalPush(List<KeyWithdrawal> withdrawals) implements PeerMessage {

	public WithdrawalPush {
		withdrawals = List.copyOf(withdrawals);
	}

}
