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
 * Chooses to whom an instance forwards news. The members form a ring ordered by
 * identifier; each forwards to the members at distances 1, 4, 16, 64 and so on. Any
 * distance is a sum of these, so that news reach every member, at the latest after three
 * hops for each distance, and nobody sends more than a few messages.
 */
public final class FanOut {

	private static final int BASE = 4;

	private FanOut() {
	}

	/**
	 * Returns the receivers of news.
	 * @param membership the members
	 * @return identifiers without the own one; about log4 of the number of members
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
