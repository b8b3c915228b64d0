package dev.nutmegdoor.core.lease;

import java.util.ArrayList;
import java.util.List;

import net.openhft.hashing.LongHashFunction;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MembershipView;

/**
 * Selects the witnesses of this instance: up to two in its own availability zone and up
 * to two in other zones, with a preference for the current witnesses.
 */
final class WitnessSelector {

	private static final int MAX_PER_GROUP = 2;

	private static final LongHashFunction HASH = LongHashFunction.xx();

	private final MembershipView membership;

	WitnessSelector(MembershipView membership) {
		this.membership = membership;
	}

	InstanceId self() {
		return this.membership.self().id();
	}

	/**
	 * Selects witnesses among the live members.
	 * @param current current witnesses, which are kept while they are live
	 * @return at most four instances, ordered by identifier
	 */
	List<InstanceId> select(List<InstanceId> current) {
		Member self = this.membership.self();
		List<Member> candidates = new ArrayList<>();
		for (Member member : this.membership.members()) {
			if (member.state().isRoutable() && !member.id().equals(self.id())) {
				candidates.add(member);
			}
		}
		candidates.sort((a, b) -> {
			int byCurrent = Boolean.compare(current.contains(b.id()), current.contains(a.id()));
			return (byCurrent != 0) ? byCurrent : Long.compare(score(self, a), score(self, b));
		});
		List<InstanceId> witnesses = new ArrayList<>();
		List<String> otherZoneNames = new ArrayList<>();
		int ownZoneCount = 0;
		for (Member member : candidates) {
			if (member.availabilityZone().equals(self.availabilityZone()) && ownZoneCount < MAX_PER_GROUP) {
				ownZoneCount++;
				witnesses.add(member.id());
			}
			else if (isInOtherZone(self, member) && otherZoneNames.size() < MAX_PER_GROUP) {
				otherZoneNames.add(member.availabilityZone().value());
				witnesses.add(member.id());
			}
		}
		witnesses.sort(InstanceId::compareTo);
		return List.copyOf(witnesses);
	}

	private static boolean isInOtherZone(Member self, Member member) {
		return !member.availabilityZone().equals(self.availabilityZone());
	}

	private static long score(Member self, Member member) {
		return HASH.hashChars(self.id().value() + "/" + member.id().value());
	}

}
