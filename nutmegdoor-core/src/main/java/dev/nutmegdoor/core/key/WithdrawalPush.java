package dev.nutmegdoor.core.key;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Tells another instance of withdrawals. Sent as a request, it is answered with
 * {@link WithdrawalReceipt} once they are applied.
 *
 * @param withdrawals the withdrawals
 */
public record WithdrawalPush(List<KeyWithdrawal> withdrawals) implements PeerMessage {

	public WithdrawalPush {
		withdrawals = List.copyOf(withdrawals);
	}

}
