package dev.nutmegdoor.core.program;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;

/**
 * Selects owners and replicas of partitions by rendezvous hashing, so that instances with
 * the same membership view select the same ones.
 */
final class RendezvousReplicaSelector {

	/** Number of copies of a partition's log in addition to the owner's. */
	static final int REPLICA_COUNT = 2;

	private RendezvousReplicaSelector() {
	}

	/**
	 * Returns the preferred owner of a partition, an instance of its zone if one is
	 * routable.
	 * @param partition name of the partition
	 * @param zone availability zone of the partition
	 * @param members members of the cluster in any state
	 * @return the owner, or {@code null} if no instance is routable
	 */
	static @Nullable InstanceId owner(String partition, AvailabilityZone zone, List<Member> members) {
		List<Member> routable = members.stream().filter((member) -> member.state().isRoutable()).toList();
		List<Member> inZone = routable.stream().filter((member) -> member.availabilityZone().equals(zone)).toList();
		return (inZone.isEmpty() ? routable : inZone).stream().max(byWeight(partition)).map(Member::id).orElse(null);
	}

	/**
	 * Completes a set of replicas, if possible with one in the owner's availability zone
	 * and one in another.
	 * @param partition name of the partition
	 * @param owner owner of the partition, which is never selected
	 * @param retained replicas to keep
	 * @param members members of the cluster in any state
	 * @return at most {@link #REPLICA_COUNT} replicas, the kept ones first
	 */
	static List<InstanceId> replicas(String partition, Member owner, List<InstanceId> retained, List<Member> members) {
		List<InstanceId> selected = new ArrayList<>(retained);
		List<Member> candidates = members.stream()
			.filter((member) -> member.state().isRoutable() && !member.id().equals(owner.id()))
			.filter((member) -> !retained.contains(member.id()))
			.sorted(byWeight(partition).reversed())
			.toList();
		while (selected.size() < REPLICA_COUNT) {
			boolean hasOtherZone = members.stream()
				.anyMatch((member) -> selected.contains(member.id())
						&& !member.availabilityZone().equals(owner.availabilityZone()));
			Member next = candidates.stream()
				.filter((member) -> !selected.contains(member.id()))
				.min(Comparator
					.comparing((member) -> member.availabilityZone().equals(owner.availabilityZone()) != hasOtherZone))
				.orElse(null);
			if (next == null) {
				break;
			}
			selected.add(next.id());
		}
		return selected;
	}

	private static Comparator<Member> byWeight(String partition) {
		return Comparator
			.comparingLong((Member member) -> LongHashFunction.xx().hashChars(partition + "@" + member.id()))
			.thenComparing(Member::id);
	}

}
