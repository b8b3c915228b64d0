package dev.nutmegdoor.core.distribution;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

import net.openhft.hashing.LongHashFunction;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MemberState;
import dev.nutmegdoor.core.membership.MembershipView;

/**
 * Rendezvous hashing: every instance computes the same ranking of the members of a zone,
 * and the loss of a member moves only what that member had.
 */
public final class RendezvousHash {

	private RendezvousHash() {
	}

	/**
	 * Returns whether this instance is among the first of its zone for a subject.
	 * @param subject what the ranking is for
	 * @param count how many members are chosen
	 * @param membership the members
	 * @return {@code true} if this instance is chosen
	 */
	public static boolean isChosen(String subject, int count, MembershipView membership) {
		Member self = membership.self();
		return chosen(subject, count, self.availabilityZone(), membership).contains(self.id());
	}

	/**
	 * Returns the first live members of a zone for a subject.
	 * @param subject what the ranking is for
	 * @param count how many members are chosen
	 * @param zone the zone
	 * @param membership the members
	 * @return at most {@code count} identifiers, highest rank first
	 */
	public static List<InstanceId> chosen(String subject, int count, AvailabilityZone zone, MembershipView membership) {
		Comparator<InstanceId> byRank = Comparator.comparingLong((id) -> rank(subject, id));
		return membership.members()
			.stream()
			.filter((member) -> member.availabilityZone().equals(zone) && member.state() == MemberState.LIVE)
			.map(Member::id)
			.sorted(byRank.thenComparing(Comparator.naturalOrder()))
			.limit(count)
			.toList();
	}

	private static long rank(String subject, InstanceId id) {
		return LongHashFunction.xx3().hashBytes((subject + "|" + id).getBytes(StandardCharsets.UTF_8));
	}

}
