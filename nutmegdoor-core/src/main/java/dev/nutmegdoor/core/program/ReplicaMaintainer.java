package dev.nutmegdoor.core.program;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MemberState;

/**
 * Replaces replicas that are unresponsive, leaving or gone. The substitute receives the
 * complete log before the record names it. While the outcome of the record update is
 * unknown, the replicas before and after the update count as required.
 */
final class ReplicaMaintainer {

	private final ProgramDependencies dependencies;

	private final PartitionTable table;

	private final Set<String> partitionsBeingUpdated = new HashSet<>();

	ReplicaMaintainer(ProgramDependencies dependencies, PartitionTable table) {
		this.dependencies = dependencies;
		this.table = table;
	}

	Set<InstanceId> remoteReplicas(PartitionRecord record) {
		Set<InstanceId> replicas = new TreeSet<>(record.replicas());
		replicas.remove(this.dependencies.transport().self());
		return replicas;
	}

	void maintain(PartitionHome home) {
		if (this.partitionsBeingUpdated.contains(home.name())) {
			return;
		}
		PartitionRecord record = home.hint().record();
		List<InstanceId> usableReplicas = new ArrayList<>();
		for (InstanceId replica : record.replicas()) {
			if (isUsable(home, replica)) {
				usableReplicas.add(replica);
			}
		}
		if (usableReplicas.size() == RendezvousReplicaSelector.REPLICA_COUNT) {
			return;
		}
		List<InstanceId> targetReplicas = RendezvousReplicaSelector.replicas(home.name(),
				this.dependencies.members().self(), usableReplicas, this.dependencies.members().members());
		if (targetReplicas.size() <= usableReplicas.size()) {
			return;
		}
		boolean isSynced = true;
		for (InstanceId replica : targetReplicas) {
			ReplicaLink link = home.log().openLink(replica);
			isSynced &= link.isSynced() && link.isReachable();
		}
		if (isSynced) {
			update(home, record.withReplicas(targetReplicas));
		}
	}

	private boolean isUsable(PartitionHome home, InstanceId replica) {
		Member member = this.dependencies.members().member(replica);
		boolean isMember = member != null && member.state() != MemberState.GONE
				&& member.state() != MemberState.LEAVING;
		ReplicaLink link = home.log().findLink(replica);
		long unresponsiveForMs = (link != null) ? link.unresponsiveForMs(this.dependencies.timer().nowMs()) : 0;
		return isMember && !replica.equals(this.dependencies.transport().self())
				&& unresponsiveForMs < this.dependencies.settings().replaceReplicaMs();
	}

	private void update(PartitionHome home, PartitionRecord record) {
		this.partitionsBeingUpdated.add(home.name());
		Set<InstanceId> oldAndNewReplicas = remoteReplicas(home.hint().record());
		oldAndNewReplicas.addAll(remoteReplicas(record));
		home.log().setRequiredReplicas(oldAndNewReplicas);
		this.dependencies.store()
			.update(PartitionRecord.KIND, home.name(), home.hint().version(), Json.write(record))
			.whenComplete((object, error) -> {
				if (error == null) {
					this.table.updateIfNewer(object);
					applyStoredRecord(home);
				}
				else {
					rereadRecord(home, record);
				}
			});
	}

	// Reads the record until the store responds. If it is unchanged, the update is
	// resent, so that an earlier one in flight can't take effect undetected.
	private void rereadRecord(PartitionHome home, PartitionRecord intendedRecord) {
		this.dependencies.store().get(PartitionRecord.KIND, home.name()).whenComplete((object, error) -> {
			if (home.isLost()) {
				this.partitionsBeingUpdated.remove(home.name());
			}
			else if (error == null && object.version() == home.hint().version()) {
				update(home, intendedRecord);
			}
			else if (error == null) {
				this.table.updateIfNewer(object);
				applyStoredRecord(home);
			}
			else {
				this.dependencies.timer()
					.schedule(this.dependencies.settings().retryMs(), () -> rereadRecord(home, intendedRecord));
			}
		});
	}

	private void applyStoredRecord(PartitionHome home) {
		this.partitionsBeingUpdated.remove(home.name());
		@Nullable PartitionHint newest = this.table.find(home.name());
		if (newest == null || home.isLost()) {
			return;
		}
		boolean isOwner = newest.record().owner().equals(this.dependencies.transport().self())
				&& newest.record().partitionEpoch() == home.log().epoch();
		if (!isOwner) {
			home.log().markLost("the record names " + newest.record().owner());
			return;
		}
		Set<InstanceId> previousReplicas = remoteReplicas(home.hint().record());
		home.setHint(newest);
		Set<InstanceId> currentReplicas = remoteReplicas(newest.record());
		home.log().setRequiredReplicas(currentReplicas);
		previousReplicas.removeAll(currentReplicas);
		previousReplicas.forEach(home.log()::closeLink);
	}

}
