package dev.nutmegdoor.core.lease;

import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * State of the lease controller.
 *
 * @param state state of the own lease
 * @param epoch epoch of the own lease
 * @param remainingMs time until the lease expires unless extended, in milliseconds
 * @param witnesses witnesses of the own lease
 * @param holdingsVersion version of the own holdings
 * @param holdings number of entries of the own holdings
 * @param witnessedHolders holders that this instance is a witness of, with the
 * milliseconds since it last heard from each
 * @param fencing instances that this one tries to fence
 */
public record LeaseDump(LeaseState state, long epoch, long remainingMs, List<InstanceId> witnesses,
		long holdingsVersion, int holdings, Map<String, Long> witnessedHolders, List<InstanceId> fencing) {

	public LeaseDump {
		witnesses = List.copyOf(witnesses);
		witnessedHolders = Map.copyOf(witnessedHolders);
		fencing = List.copyOf(fencing);
	}

}
