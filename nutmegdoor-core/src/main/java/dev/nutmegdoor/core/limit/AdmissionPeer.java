package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Another holder as an admission sees it.
 *
 * @param id the holder
 * @param isSameZone whether it is in the zone of this instance
 * @param isKnown whether its balance is known
 * @param units units of its share, if known
 * @param tokensMicro estimate of its micro-tokens, if known
 * @param isOverloaded whether its own demand exceeds its share
 * @param isAsked whether this admission has asked it already
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
