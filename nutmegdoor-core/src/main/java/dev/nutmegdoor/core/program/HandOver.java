package dev.nutmegdoor.core.program;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;

/**
 * Hands partitions over to other instances: all partitions when this instance drains, and
 * otherwise one at a time to the instance that rendezvous hashing prefers, so that new
 * instances receive their share.
 */
final class HandOver {

	private final ProgramDependencies dependencies;

	private final PartitionTable table;

	private final PartitionController controller;

	private final Set<String> handOversInProgress = new HashSet<>();

	private @Nullable CompletableFuture<Void> drainFuture;

	private long lastRebalanceMs;

	HandOver(ProgramDependencies dependencies, PartitionTable table, PartitionController controller) {
		this.dependencies = dependencies;
		this.table = table;
		this.controller = controller;
		dependencies.transport()
			.subscribe(HandOverOffer.class, (from, offer) -> CompletableFuture.completedFuture(
					new HandOverAnswer(dependencies.lease().isValid() && !isDraining(), dependencies.lease().epoch())));
	}

	boolean isDraining() {
		return this.drainFuture != null;
	}

	CompletableFuture<Void> drain() {
		if (this.drainFuture == null) {
			this.dependencies.steps().reached(Step.DRAIN);
			this.drainFuture = new CompletableFuture<>();
			tick();
		}
		return this.drainFuture;
	}

	void tick() {
		CompletableFuture<Void> currentDrain = this.drainFuture;
		if (currentDrain == null) {
			rebalance();
			return;
		}
		List<PartitionHome> homes = this.controller.homes();
		if (homes.isEmpty()) {
			currentDrain.complete(null);
		}
		homes.forEach(this::handOver);
	}

	private void rebalance() {
		long nowMs = this.dependencies.timer().nowMs();
		if (nowMs - this.lastRebalanceMs < this.dependencies.settings().rebalanceMs()
				|| !this.handOversInProgress.isEmpty()) {
			return;
		}
		for (PartitionHome home : this.controller.homes()) {
			InstanceId preferred = successor(home, this.dependencies.members().members());
			if (preferred != null && !preferred.equals(this.dependencies.transport().self()) && home.isIdle()) {
				this.lastRebalanceMs = nowMs;
				handOver(home);
				return;
			}
		}
	}

	boolean isInProgress(PartitionHome home) {
		return this.handOversInProgress.contains(home.name());
	}

	private @Nullable InstanceId successor(PartitionHome home, List<Member> members) {
		String partition = home.name();
		AvailabilityZone zone = PartitionRecord.zoneOf(partition);
		return RendezvousReplicaSelector.owner(partition, zone, members);
	}

	private void handOver(PartitionHome home) {
		home.setFrozen(true);
		List<Member> otherMembers = this.dependencies.members()
			.members()
			.stream()
			.filter((member) -> !member.id().equals(this.dependencies.transport().self()))
			.toList();
		InstanceId successor = successor(home, otherMembers);
		// The successor recovers from the replicas, so they must have stored all entries.
		boolean isReady = successor != null && home.isIdle() && home.log().isFullyReplicated();
		if (successor == null || !isReady || !this.handOversInProgress.add(home.name())) {
			if (!this.handOversInProgress.contains(home.name())) {
				home.setFrozen(isDraining());
			}
			return;
		}
		this.dependencies.transport()
			.request(successor, new HandOverOffer(home.name()), HandOverAnswer.class,
					this.dependencies.settings().appendTimeoutMs())
			.whenComplete((answer, error) -> {
				if (error == null && answer.isAccepted() && this.dependencies.lease().isValid() && !home.isLost()) {
					writeRecord(home, home.hint().record().withOwner(successor, answer.leaseEpoch()));
				}
				else {
					cancel(home);
				}
			});
	}

	private void writeRecord(PartitionHome home, PartitionRecord record) {
		this.dependencies.steps().reached(Step.HAND_OVER);
		this.dependencies.store()
			.update(PartitionRecord.KIND, home.name(), home.hint().version(), Json.write(record))
			.whenComplete((object, error) -> {
				if (error == null) {
					this.table.updateIfNewer(object);
					finish(home);
				}
				else {
					rereadRecord(home);
				}
			});
	}

	private void rereadRecord(PartitionHome home) {
		this.dependencies.store().get(PartitionRecord.KIND, home.name()).whenComplete((object, error) -> {
			if (error != null && !home.isLost()) {
				this.dependencies.timer().schedule(this.dependencies.settings().retryMs(), () -> rereadRecord(home));
				return;
			}
			if (error == null) {
				this.table.updateIfNewer(object);
			}
			PartitionHint newest = this.table.find(home.name());
			boolean hasNewOwner = newest != null && newest.record().partitionEpoch() != home.log().epoch();
			if (hasNewOwner) {
				finish(home);
			}
			else {
				if (newest != null) {
					home.setHint(newest);
				}
				cancel(home);
			}
		});
	}

	private void finish(PartitionHome home) {
		PartitionHint newest = this.table.find(home.name());
		this.handOversInProgress.remove(home.name());
		this.controller.stopServing(home);
		if (newest != null) {
			this.dependencies.transport().send(newest.record().owner(), newest);
		}
	}

	private void cancel(PartitionHome home) {
		this.handOversInProgress.remove(home.name());
		home.setFrozen(isDraining());
	}

}
