package dev.nutmegdoor.core.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * Selects the instances that receive heartbeats and those whose heartbeats are monitored.
 * The number of targets depends on the number of zones, not on the number of instances.
 */
final class HeartbeatTargets {

	private final Member self;

	private final int ringNeighbours;

	private final UniformRandomProvider random;

	HeartbeatTargets(Member self, int ringNeighbours, UniformRandomProvider random) {
		this.self = self;
		this.ringNeighbours = ringNeighbours;
		this.random = random;
	}

	/**
	 * Returns the targets of one round of heartbeats: the successors in the ring and one
	 * random instance of each zone, this instance's own zone included.
	 * @param table other instances
	 * @return identifiers of the targets
	 */
	Set<InstanceId> next(MemberTable table) {
		Set<InstanceId> targets = new LinkedHashSet<>(neighbours(table, true));
		Map<AvailabilityZone, List<InstanceId>> idsByZone = new TreeMap<>();
		for (MemberTable.Entry entry : table.entries()) {
			if (entry.state() != MemberState.GONE) {
				idsByZone.computeIfAbsent(entry.zone(), (zone) -> new ArrayList<>()).add(entry.id());
			}
		}
		for (List<InstanceId> ids : idsByZone.values()) {
			targets.add(ids.get(this.random.nextInt(ids.size())));
		}
		return targets;
	}

	/**
	 * Returns random instances that are not gone.
	 * @param table other instances
	 * @param maxCount maximum number of instances
	 * @return identifiers of distinct instances
	 */
	Set<InstanceId> sample(MemberTable table, int maxCount) {
		List<InstanceId> ids = new ArrayList<>();
		for (MemberTable.Entry entry : table.entries()) {
			if (entry.state() != MemberState.GONE) {
				ids.add(entry.id());
			}
		}
		Set<InstanceId> sample = new LinkedHashSet<>();
		while (!ids.isEmpty() && sample.size() < maxCount) {
			sample.add(ids.remove(this.random.nextInt(ids.size())));
		}
		return sample;
	}

	/**
	 * Returns the nearest neighbours in the ring, which consists of the instances of this
	 * instance's zone in the order of their identifiers.
	 * @param table other instances
	 * @param isForward {@code true} for the successors, {@code false} for the
	 * predecessors
	 * @return identifiers, nearest first
	 */
	List<InstanceId> neighbours(MemberTable table, boolean isForward) {
		List<InstanceId> ring = new ArrayList<>();
		int smallerIds = 0;
		for (MemberTable.Entry entry : table.entries()) {
			boolean isCandidate = entry.state() != MemberState.GONE
					&& entry.zone().equals(this.self.availabilityZone());
			if (isCandidate) {
				ring.add(entry.id());
				smallerIds += (entry.id().compareTo(this.self.id()) < 0) ? 1 : 0;
			}
		}
		List<InstanceId> neighbours = new ArrayList<>();
		int size = ring.size();
		for (int i = 0; i < Math.min(this.ringNeighbours, size); i++) {
			int index = isForward ? (smallerIds + i) : (smallerIds - 1 - i);
			neighbours.add(ring.get(Math.floorMod(index, size)));
		}
		return neighbours;
	}

}
