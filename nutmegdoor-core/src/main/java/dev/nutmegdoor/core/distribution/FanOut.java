package dev.nutmegdoor.core.distribution;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MemberState;
import dev.nutmegdoor.core.membership.MembershipView;

/**
 * Selects the members to which an instance forwards an update. The members form a ring
 * ordered by identifier; each forwards to the members at distances 1, 4, 16, 64 and so
 * on. Every distance is a sum of at most three of each of these, so that an update
 * reaches every member after at most three hops per power of 4, while each member sends
 * only a few messages.
 */
public final class FanOut {

	private static final int BASE = 4;

	private FanOut() {
	}

	/**
	 * Returns the members to which this instance forwards an update.
	 * @param membership members that form the ring
	 * @return identifiers without that of this instance; their number is about the
	 * logarithm to base 4 of the number of members
	 */
	public static List<InstanceId> targets(MembershipView membership) {
		List<InstanceId> ring = new ArrayList<>();
		InstanceId self = membership.self().id();
		for (Member member : membership.members()) {
			if (member.state() != MemberState.GONE || member.id().equals(self)) {
				ring.add(member.id());
			}
		}
		int position = ring.indexOf(self);
		Set<InstanceId> targets = new LinkedHashSet<>();
		for (int distance = 1; distance < ring.size(); distance *= BASE) {
			targets.add(ring.get((position + distance) % ring.size()));
		}
		targets.remove(self);
		return List.copyOf(targets);
	}

}
