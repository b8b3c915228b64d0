package dev.nutmegdoor.core.lease;

import java.util.ArrayList;
import java.util.List;

import net.openhft.hashing.LongHashFunction;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MembershipView;

/**
 * Chooses the witnesses of an instance: two of its zone and two of other zones, the
 * present ones first.
 */
final class WitnessSelector {

	private static final int PER_SIDE = 2;

	private static final LongHashFunction HASH = LongHashFunction.xx();

	private final MembershipView membership;

	WitnessSelector(MembershipView membership) {
		this.membership = membership;
	}

	InstanceId self() {
		return this.membership.self().id();
	}

	/**
	 * Chooses witnesses.
	 * @param present witnesses named at present, which stay while they are live
	 * @return at most four instances, ordered by identifier
	 */
	List<InstanceId> select(List<InstanceId> present) {
		Member self = this.membership.self();
		List<Member> candidates = new ArrayList<>();
		for (Member member : this.membership.members()) {
			if (member.state().isRoutable() && !member.id().equals(self.id())) {
				candidates.add(member);
			}
		}
		candidates.sort((a, b) -> {
			int byPresence = Boolean.compare(present.contains(b.id()), present.contains(a.id()));
			return (byPresence != 0) ? byPresence : Long.compare(score(self, a), score(self, b));
		});
		List<InstanceId> chosen = new ArrayList<>();
		List<String> otherZones = new ArrayList<>();
		int inZone = 0;
		for (Member member : candidates) {
			if (member.availabilityZone().equals(self.availabilityZone()) && inZone < PER_SIDE) {
				inZone++;
				chosen.add(member.id());
			}
			else if (isOtherZone(self, member) && otherZones.size() < PER_SIDE) {
				otherZones.add(member.availabilityZone().value());
				chosen.add(member.id());
			}
		}
		chosen.sort(InstanceId::compareTo);
		return List.copyOf(chosen);
	}

	private static boolean isOtherZone(Member self, Member member) {
		return !member.availabilityZone().equals(self.availabilityZone());
	}

	private static long score(Member self, Member member) {
		return HASH.hashChars(self.id().value() + "/" + member.id().value());
	}

}
