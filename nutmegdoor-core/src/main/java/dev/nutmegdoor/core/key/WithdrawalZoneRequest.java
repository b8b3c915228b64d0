package dev.nutmegdoor.core.key;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks an instance to bring withdrawals to all instances of its zone.
 *
 * @param withdrawals the withdrawals
 */
public record WithdrawalZoneRequest(List<KeyWithdrawal> withdrawals) implements PeerMessage {

	public WithdrawalZoneRequest {
		withdrawals = List.copyOf(withdrawals);
	}

}
