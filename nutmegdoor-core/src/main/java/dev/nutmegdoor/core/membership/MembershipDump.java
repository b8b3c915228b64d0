package dev.nutmegdoor.core.membership;

import java.util.List;
import java.util.Map;

/**
 * Snapshot of the state of a {@link MembershipController}.
 *
 * @param self this instance
 * @param version version of this instance's state
 * @param members other instances, including those that are gone
 * @param zoneAgesMs time since the last heartbeat from each zone in milliseconds, by zone
 * @param sentMessages number of messages sent since the start of the process
 */
public record MembershipDump(Member self, long version, List<Member> members, Map<String, Long> zoneAgesMs,
		long sentMessages) {

	public MembershipDump {
		members = List.copyOf(members);
		zoneAgesMs = Map.copyOf(zoneAgesMs);
	}

}
