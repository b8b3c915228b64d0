package dev.nutmegdoor.core.key;

import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.KeyId;

/**
 * Answer to the withdrawal of a key. The withdrawal is in force on the asked instance in
 * any case and keeps spreading after this answer.
 *
 * @param key identifier of the key
 * @param isKnown whether the configuration in force lists the key
 * @param isDurable whether enough peers or the store hold the withdrawal, so that no
 * single crash loses it
 * @param isStored whether the store holds the withdrawal
 * @param confirmedInstances number of instances that have applied it
 * @param confirmedZones zones of which all known instances have applied it
 * @param incompleteZones instances that haven't confirmed, of zones of which others have
 * @param unreachableZones zones of which no instance answered
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
