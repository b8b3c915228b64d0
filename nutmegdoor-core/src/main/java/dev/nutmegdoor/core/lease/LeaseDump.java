package dev.nutmegdoor.core.lease;

import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Snapshot of the state of a {@link LeaseController}.
 *
 * @param state state of this instance's lease
 * @param epoch epoch of this instance's lease; 0 until it is first acquired
 * @param remainingMs time until the lease expires unless it is extended, in milliseconds;
 * 0 if it has expired
 * @param witnesses witnesses of this instance's lease
 * @param holdingsVersion version of this instance's holdings
 * @param holdings number of entries in this instance's holdings
 * @param witnessedHolders time since the last heartbeat in milliseconds, by identifier of
 * the holders for which this instance is a witness
 * @param fencing instances that this instance is currently trying to fence
 */
public record LeaseDump(LeaseState state, long epoch, long remainingMs, List<InstanceId> witnesses,
		long holdingsVersion, int holdings, Map<String, Long> witnessedHolders, List<InstanceId> fencing) {

	public LeaseDump {
		witnesses = List.copyOf(witnesses);
		witnessedHolders = Map.copyOf(witnessedHolders);
		fencing = List.copyOf(fencing);
	}

}
