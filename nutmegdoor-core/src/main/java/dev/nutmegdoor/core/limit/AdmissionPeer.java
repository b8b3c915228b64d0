package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Describes another holder from the point of view of one admission.
 *
 * @param id instance that holds part of the share
 * @param isSameZone whether it is in the availability zone of this instance
 * @param isKnown whether its balance was received recently enough
 * @param units units of its share; 0 if the balance is not known
 * @param tokensMicro estimated micro-tokens in its bucket; 0 if the balance is not known
 * @param isOverloaded whether its local demand exceeds its share
 * @param isAsked whether this admission has queried it already
 */
public record AdmissionPeer(InstanceId id, boolean isSameZone, boolean isKnown, long units, long tokensMicro,
		boolean isOverloaded, boolean isAsked) {

	boolean canAdmit() {
		if (this.isAsked) {
			return false;
		}
		return !this.isKnown || (this.tokensMicro >= Limit.MICRO_PER_TOKEN && !this.isOverloaded);
	}

}
