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
 * Selects the holders of a workspace by rendezvous hashing: one or two instances in each
 * availability zone.
 */
final class HolderSelector {

	/**
	 * Tokens that each bucket should be able to hold, so that it can absorb requests that
	 * arrive close together.
	 */
	private static final int MIN_BUCKET_CAPACITY = 3;

	private static final LongHashFunction HASH = LongHashFunction.xx();

	private final MembershipView membership;

	private final Map<WorkspaceId, CachedHolders> cache = new HashMap<>();

	HolderSelector(MembershipView membership) {
		this.membership = membership;
		membership.subscribe((member) -> this.cache.clear());
	}

	/**
	 * Returns the holders of a workspace among the routable instances.
	 * @param workspace key of the rendezvous hash
	 * @param burst burst of the workspace; a small one is split among fewer holders
	 * @return one or two holders per zone, including this instance if it is one
	 */
	List<Member> holders(WorkspaceId workspace, int burst) {
		CachedHolders cached = this.cache.get(workspace);
		if (cached == null || cached.burst != burst) {
			cached = new CachedHolders(burst, selectHolders(workspace, burst));
			this.cache.put(workspace, cached);
		}
		return cached.holders;
	}

	boolean isHolder(WorkspaceId workspace, int burst) {
		for (Member holder : holders(workspace, burst)) {
			if (holder.id().equals(this.membership.self().id())) {
				return true;
			}
		}
		return false;
	}

	List<Member> holdersInOwnZone(WorkspaceId workspace, int burst) {
		List<Member> inOwnZone = new ArrayList<>(holders(workspace, burst));
		inOwnZone.removeIf((member) -> !member.availabilityZone().equals(this.membership.self().availabilityZone()));
		return inOwnZone;
	}

	private List<Member> selectHolders(WorkspaceId workspace, int burst) {
		Map<AvailabilityZone, List<Member>> membersByZone = new TreeMap<>();
		for (Member member : this.membership.members()) {
			if (member.state().isRoutable()) {
				membersByZone.computeIfAbsent(member.availabilityZone(), (zone) -> new ArrayList<>()).add(member);
			}
		}
		int holdersPerZone = (burst >= 2 * MIN_BUCKET_CAPACITY * membersByZone.size()) ? 2 : 1;
		List<Member> holders = new ArrayList<>();
		for (List<Member> members : membersByZone.values()) {
			members.sort(
					(left, right) -> Long.compare(rendezvousScore(workspace, right), rendezvousScore(workspace, left)));
			holders.addAll(members.subList(0, Math.min(holdersPerZone, members.size())));
		}
		return holders;
	}

	private static long rendezvousScore(WorkspaceId workspace, Member member) {
		return HASH.hashChars(workspace.value() + "/" + member.id().value());
	}

	private record CachedHolders(int burst, List<Member> holders) {

	}

}
