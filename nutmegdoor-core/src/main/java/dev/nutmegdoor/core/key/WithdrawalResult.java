package dev.nutmegdoor.core.key;

import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.KeyId;

/**
 * Result of the withdrawal of a key. The withdrawal is applied on the instance that
 * received the request in any case, and continues to propagate after this result.
 *
 * @param key identifier of the key
 * @param isKnown whether the active configuration contains the key
 * @param isDurable whether the withdrawal is in the store or on enough peers, so that no
 * single crash loses it
 * @param isStored whether the withdrawal is in the store
 * @param confirmedInstances number of instances that have confirmed the withdrawal
 * @param confirmedZones zones of which all members have confirmed
 * @param incompleteZones members that have not confirmed, by zone, of zones of which at
 * least one other member has
 * @param unreachableZones zones of which no instance replied
 */
public record WithdrawalResult(KeyId key, boolean isKnown, boolean isDurable, boolean isStored, int confirmedInstances,
		List<AvailabilityZone> confirmedZones, Map<AvailabilityZone, List<InstanceId>> incompleteZones,
		List<AvailabilityZone> unreachableZones) {

	public WithdrawalResult {
		confirmedZones = List.copyOf(confirmedZones);
		incompleteZones = Map.copyOf(incompleteZones);
		unreachableZones = List.copyOf(unreachableZones);
	}

}
