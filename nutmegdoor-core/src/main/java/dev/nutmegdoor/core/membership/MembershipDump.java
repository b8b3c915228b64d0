package dev.nutmegdoor.core.membership;

import java.util.List;
import java.util.Map;

/**
 * State of the membership controller.
 *
 * @param self own entry
 * @param version version of the own entry
 * @param members known instances, gone ones included
 * @param zoneAgesMs by zone, the age of the newest sign of life in milliseconds
 * @param sentMessages messages sent since the start
 */
public record MembershipDump(Member self, long version, List<Member> members, Map<String, Long> zoneAgesMs,
		long sentMessages) {

	public MembershipDump {
		members = List.copyOf(members);
		zoneAgesMs = Map.copyOf(zoneAgesMs);
	}

}
