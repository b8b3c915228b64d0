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
 * Implements rendezvous hashing. All instances compute the same ranking of the members of
 * a zone, and the loss of a member reassigns only the subjects of that member.
 */
public final class RendezvousHash {

	private RendezvousHash() {
	}

	/**
	 * Returns whether this instance is among the highest-ranked live members of its zone
	 * for a subject.
	 * @param subject key that determines the ranking
	 * @param count number of members to choose in the zone
	 * @param membership candidates
	 * @return {@code true} if this instance is one of the chosen members
	 */
	public static boolean isChosen(String subject, int count, MembershipView membership) {
		Member self = membership.self();
		return chosen(subject, count, self.availabilityZone(), membership).contains(self.id());
	}

	/**
	 * Returns the highest-ranked live members of a zone for a subject.
	 * @param subject key that determines the ranking
	 * @param count maximum number of members to choose
	 * @param zone zone of the candidates
	 * @param membership candidates
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
