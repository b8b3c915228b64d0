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
 * Chooses owners and replicas of partitions by rendezvous hashing, so that instances with
 * the same view choose alike.
 */
final class RendezvousReplicaSelector {

	/** Copies besides the owner's. */
	static final int REPLICA_COUNT = 2;

	private RendezvousReplicaSelector() {
	}

	/**
	 * Returns the instance that is to own a partition.
	 * @param partition name of the partition
	 * @param zone zone of the partition
	 * @param members known instances
	 * @return the owner, or {@code null} if no instance may get work
	 */
	static @Nullable InstanceId owner(String partition, AvailabilityZone zone, List<Member> members) {
		List<Member> routable = members.stream().filter((member) -> member.state().isRoutable()).toList();
		List<Member> inZone = routable.stream().filter((member) -> member.availabilityZone().equals(zone)).toList();
		return (inZone.isEmpty() ? routable : inZone).stream().max(byWeight(partition)).map(Member::id).orElse(null);
	}

	/**
	 * Completes a set of replicas: one in the owner's zone and one elsewhere if possible.
	 * @param partition name of the partition
	 * @param owner owner of the partition
	 * @param retained replicas that stay
	 * @param members known instances
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
