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
 * Replaces replicas that are silent, leaving or gone. The substitute gets the whole log
 * before the record names it, and while the outcome of the update is open both sets have
 * to acknowledge intents.
 */
final class ReplicaMaintainer {

	private final ProgramDependencies dependencies;

	private final PartitionTable table;

	private final Set<String> updating = new HashSet<>();

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
		if (this.updating.contains(home.name())) {
			return;
		}
		PartitionRecord record = home.hint().record();
		List<InstanceId> kept = new ArrayList<>();
		for (InstanceId replica : record.replicas()) {
			if (isUsable(home, replica)) {
				kept.add(replica);
			}
		}
		if (kept.size() == RendezvousReplicaSelector.REPLICAS) {
			return;
		}
		List<InstanceId> chosen = RendezvousReplicaSelector.replicas(home.name(), this.dependencies.members().self(),
				kept, this.dependencies.members().members());
		if (chosen.size() <= kept.size()) {
			return;
		}
		boolean isSynced = true;
		for (InstanceId replica : chosen) {
			ReplicaLink link = home.log().join(replica);
			isSynced &= link.isSynced() && link.isReachable();
		}
		if (isSynced) {
			update(home, record.withReplicas(chosen));
		}
	}

	private boolean isUsable(PartitionHome home, InstanceId replica) {
		Member member = this.dependencies.members().member(replica);
		boolean isMember = member != null && member.state() != MemberState.GONE
				&& member.state() != MemberState.LEAVING;
		ReplicaLink link = home.log().link(replica);
		long silentMs = (link != null) ? link.silentMs(this.dependencies.timer().nowMs()) : 0;
		return isMember && !replica.equals(this.dependencies.transport().self())
				&& silentMs < this.dependencies.settings().replaceReplicaMs();
	}

	private void update(PartitionHome home, PartitionRecord record) {
		this.updating.add(home.name());
		Set<InstanceId> both = remoteReplicas(home.hint().record());
		both.addAll(remoteReplicas(record));
		home.log().setRequired(both);
		this.dependencies.store()
			.update(PartitionRecord.KIND, home.name(), home.hint().version(), Json.write(record))
			.whenComplete((object, error) -> {
				if (error == null) {
					this.table.learn(object);
					apply(home);
				}
				else {
					reread(home, record);
				}
			});
	}

	// Reads the record until its content is known. If it is unchanged the update is sent
	// again, so that one still on its way can't take effect later unnoticed.
	private void reread(PartitionHome home, PartitionRecord wanted) {
		this.dependencies.store().get(PartitionRecord.KIND, home.name()).whenComplete((object, error) -> {
			if (home.isLost()) {
				this.updating.remove(home.name());
			}
			else if (error == null && object.version() == home.hint().version()) {
				update(home, wanted);
			}
			else if (error == null) {
				this.table.learn(object);
				apply(home);
			}
			else {
				this.dependencies.timer().schedule(this.dependencies.settings().retryMs(), () -> reread(home, wanted));
			}
		});
	}

	private void apply(PartitionHome home) {
		this.updating.remove(home.name());
		@Nullable PartitionHint newest = this.table.find(home.name());
		if (newest == null || home.isLost()) {
			return;
		}
		boolean isOwner = newest.record().owner().equals(this.dependencies.transport().self())
				&& newest.record().partitionEpoch() == home.log().epoch();
		if (!isOwner) {
			home.log().lose("the record names " + newest.record().owner());
			return;
		}
		Set<InstanceId> previous = remoteReplicas(home.hint().record());
		home.setHint(newest);
		Set<InstanceId> current = remoteReplicas(newest.record());
		home.log().setRequired(current);
		previous.removeAll(current);
		previous.forEach(home.log()::leave);
	}

}
