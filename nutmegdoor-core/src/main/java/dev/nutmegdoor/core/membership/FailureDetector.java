package dev.nutmegdoor.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Detects unresponsive instances. Monitors the predecessors in the ring, which send
 * heartbeats to this instance, and moves instances from suspect to gone and out of the
 * table as time passes.
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
	 * Returns the state changes that are due, and removes instances from the table that
	 * have been gone for long enough.
	 * @param table other instances with their last heartbeats
	 * @param nowMs current time in milliseconds
	 * @return updates to be merged into the table
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
	 * Returns the monitored instances that become suspect within one heartbeat period
	 * unless a heartbeat arrives.
	 * @param table other instances with their last heartbeats
	 * @param nowMs current time in milliseconds
	 * @return identifiers of live instances that are about to become suspect
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
