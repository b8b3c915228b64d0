package dev.nutmegdoor.core.key;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Requests an instance to push withdrawals to all instances of its zone.
 *
 * @param withdrawals withdrawals to apply and push
 */
public record WithdrawalZoneRequest(List<KeyWithdrawal> withdrawals) implements PeerMessage {

	public WithdrawalZoneRequest {
		withdrawals = List.copyOf(withdrawals);
	}

}
