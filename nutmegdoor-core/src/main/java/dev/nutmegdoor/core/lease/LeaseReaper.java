package dev.nutmegdoor.core.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import net.openhft.hashing.LongHashFunction;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MemberState;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Selects the unresponsive instances that this instance tries to fence. All instances
 * compute the same ranking of fencers, so that normally a single one sends requests to
 * the store for each unresponsive instance.
 */
final class LeaseReaper {

	/** Each further rank waits this much longer, so that earlier ranks can succeed. */
	private static final long RANK_DELAY_MS = 10_000;

	private static final LongHashFunction HASH = LongHashFunction.xx();

	private final MembershipView membership;

	private final TimerService timer;

	private final Map<InstanceId, UnresponsiveMember> unresponsive = new TreeMap<>();

	LeaseReaper(MembershipView membership, TimerService timer) {
		this.membership = membership;
		this.timer = timer;
		membership.subscribe(this::memberChanged);
	}

	private void memberChanged(Member member) {
		boolean isUnresponsive = member.state() == MemberState.SUSPECT || member.state() == MemberState.GONE;
		if (!isUnresponsive) {
			this.unresponsive.remove(member.id());
		}
		else {
			this.unresponsive.putIfAbsent(member.id(), new UnresponsiveMember(member, this.timer.nowMs()));
		}
	}

	void remove(InstanceId holder) {
		this.unresponsive.remove(holder);
	}

	/**
	 * Returns the unresponsive instances for which the delay of this instance's rank has
	 * passed.
	 * @return instances that this instance should try to fence now
	 */
	List<InstanceId> dueHolders() {
		List<InstanceId> holders = new ArrayList<>();
		long nowMs = this.timer.nowMs();
		this.unresponsive.forEach((holder, entry) -> {
			long waitedMs = nowMs - entry.sinceMs;
			if (waitedMs >= rank(entry.member) * RANK_DELAY_MS) {
				holders.add(holder);
			}
		});
		return holders;
	}

	// Returns how many live instances rank before this one. Instances in the zone of the
	// unresponsive holder rank first, because its holdings belong to that zone.
	private int rank(Member holder) {
		Member self = this.membership.self();
		long ownScore = score(holder, self);
		int rank = 0;
		for (Member member : this.membership.members()) {
			boolean isRankedBefore = member.state().isRoutable() && !member.id().equals(self.id())
					&& score(holder, member) < ownScore;
			rank += isRankedBefore ? 1 : 0;
		}
		return rank;
	}

	private static long score(Member holder, Member candidate) {
		long hash = HASH.hashChars(holder.id().value() + "/" + candidate.id().value()) >>> 2;
		boolean isSameZone = holder.availabilityZone().equals(candidate.availabilityZone());
		return isSameZone ? hash : (hash + (Long.MAX_VALUE >>> 1));
	}

	private record UnresponsiveMember(Member member, long sinceMs) {

	}

}
