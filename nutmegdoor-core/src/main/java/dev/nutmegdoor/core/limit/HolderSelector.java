package dev.nutmegdoor.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import net.openhft.hashing.LongHashFunction;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MembershipView;

/**
 * Chooses the holders of a workspace by rendezvous hashing: one or two of each zone.
 */
final class HolderSelector {

	/** Tokens that each bucket should be able to hold, so that it can absorb clusters. */
	private static final int MIN_CAPACITY = 3;

	private static final LongHashFunction HASH = LongHashFunction.xx();

	private final MembershipView membership;

	private final Map<WorkspaceId, Chosen> cache = new HashMap<>();

	HolderSelector(MembershipView membership) {
		this.membership = membership;
		membership.subscribe((member) -> this.cache.clear());
	}

	/**
	 * Returns the holders of a workspace among the live instances.
	 * @param workspace the workspace
	 * @param burst burst of the workspace; a small one is split over fewer holders
	 * @return the holders
	 */
	List<Member> holders(WorkspaceId workspace, int burst) {
		Chosen chosen = this.cache.get(workspace);
		if (chosen == null || chosen.burst != burst) {
			chosen = new Chosen(burst, choose(workspace, burst));
			this.cache.put(workspace, chosen);
		}
		return chosen.holders;
	}

	boolean isHolder(WorkspaceId workspace, int burst) {
		for (Member holder : holders(workspace, burst)) {
			if (holder.id().equals(this.membership.self().id())) {
				return true;
			}
		}
		return false;
	}

	List<Member> zoneHolders(WorkspaceId workspace, int burst) {
		List<Member> found = new ArrayList<>(holders(workspace, burst));
		found.removeIf((member) -> !member.availabilityZone().equals(this.membership.self().availabilityZone()));
		return found;
	}

	private List<Member> choose(WorkspaceId workspace, int burst) {
		Map<AvailabilityZone, List<Member>> byZone = new TreeMap<>();
		for (Member member : this.membership.members()) {
			if (member.state().isRoutable()) {
				byZone.computeIfAbsent(member.availabilityZone(), (zone) -> new ArrayList<>()).add(member);
			}
		}
		int perZone = (burst >= 2 * MIN_CAPACITY * byZone.size()) ? 2 : 1;
		List<Member> holders = new ArrayList<>();
		for (List<Member> members : byZone.values()) {
			members.sort((a, b) -> Long.compare(score(workspace, b), score(workspace, a)));
			holders.addAll(members.subList(0, Math.min(perZone, members.size())));
		}
		return holders;
	}

	private static long score(WorkspaceId workspace, Member member) {
		return HASH.hashChars(workspace.value() + "/" + member.id().value());
	}

	private record Chosen(int burst, List<Member> holders) {

	}

}
