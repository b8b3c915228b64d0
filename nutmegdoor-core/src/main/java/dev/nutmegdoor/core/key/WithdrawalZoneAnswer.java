package dev.nutmegdoor.core.key;

import java.util.List;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Tells which instances of a zone have applied withdrawals.
 *
 * @param confirmed instances that have applied them
 * @param missing known instances that haven't confirmed
 */
public record WithdrawalZoneAnswer(List<InstanceId> confirmed, List<InstanceId> missing) implements PeerMessage {

	public WithdrawalZoneAnswer {
		confirmed = List.copyOf(confirmed);
		missing = List.copyOf(missing);
	}

}
