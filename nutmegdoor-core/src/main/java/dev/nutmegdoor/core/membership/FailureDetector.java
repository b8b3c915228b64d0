package dev.nutmegdoor.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Watches the predecessors in the ring, whose heartbeats this instance expects, and ages
 * the states of silent instances.
 */
final class FailureDetector {

	private final HeartbeatTargets targets;

	private final MembershipSettings settings;

	private Set<InstanceId> monitored = Set.of();

	FailureDetector(HeartbeatTargets targets, MembershipSettings settings) {
		this.targets = targets;
		this.settings = settings;
	}

	/**
	 * Returns the changes of state that follow from silence.
	 * @param table known instances
	 * @param nowMs current time
	 * @return the changes
	 */
	List<MemberUpdate> findChanges(MemberTable table, long nowMs) {
		List<MemberUpdate> changes = new ArrayList<>();
		Set<InstanceId> predecessors = new HashSet<>(this.targets.neighbours(table, false));
		for (MemberTable.Entry entry : table.entries()) {
			if (predecessors.contains(entry.id()) && !this.monitored.contains(entry.id())) {
				entry.setLastHeartbeatMs(nowMs);
			}
		}
		this.monitored = predecessors;
		long suspectPeriodMs = this.settings.goneAfterMs() - this.settings.suspectAfterMs();
		for (MemberTable.Entry entry : List.copyOf(table.entries())) {
			boolean isUnresponsive = predecessors.contains(entry.id())
					&& nowMs - entry.lastHeartbeatMs() > this.settings.suspectAfterMs();
			long stateAgeMs = nowMs - entry.stateSinceMs();
			switch (entry.state()) {
				case LIVE -> {
					if (isUnresponsive) {
						changes.add(entry.update().withState(MemberState.SUSPECT));
					}
				}
				case LEAVING -> {
					if (isUnresponsive) {
						changes.add(entry.update().withState(MemberState.GONE));
					}
				}
				case SUSPECT -> {
					if (stateAgeMs > suspectPeriodMs) {
						changes.add(entry.update().withState(MemberState.GONE));
					}
				}
				case GONE -> {
					if (stateAgeMs > this.settings.tombstoneMs()) {
						table.remove(entry.id());
					}
				}
			}
		}
		return changes;
	}

	/**
	 * Returns the watched instances that will be suspect unless they answer now.
	 * @param table known instances
	 * @param nowMs current time
	 * @return the instances
	 */
	List<InstanceId> findNearlySuspect(MemberTable table, long nowMs) {
		List<InstanceId> nearlySuspect = new ArrayList<>();
		for (InstanceId id : this.monitored) {
			MemberTable.Entry entry = table.get(id);
			boolean isNearlySuspect = entry != null && entry.state() == MemberState.LIVE
					&& nowMs - entry.lastHeartbeatMs() > this.settings.suspectAfterMs() - this.settings.heartbeatMs();
			if (isNearlySuspect) {
				nearlySuspect.add(id);
			}
		}
		return nearlySuspect;
	}

}
