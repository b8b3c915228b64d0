package dev.nutmegdoor.core.key;

import java.util.List;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Reports which instances of a zone have applied withdrawals; reply to
 * {@link WithdrawalZoneRequest}.
 *
 * @param confirmed instances that have applied them
 * @param missing members that have not confirmed
 */
public record WithdrawalZoneAnswer(List<InstanceId> confirmed, List<InstanceId> missing) implements PeerMessage {

	public WithdrawalZoneAnswer {
		confirmed = List.copyOf(confirmed);
		missing = List.copyOf(missing);
	}

}
