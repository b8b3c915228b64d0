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
 * Hands partitions over to other instances: all of them at drain, and now and then one to
 * the instance that rendezvous hashing prefers, so that new instances get their part.
 */
final class HandOver {

	private final ProgramDependencies dependencies;

	private final PartitionTable table;

	private final PartitionController controller;

	private final Set<String> moving = new HashSet<>();

	private @Nullable CompletableFuture<Void> drained;

	private long lastVoluntaryMs;

	HandOver(ProgramDependencies dependencies, PartitionTable table, PartitionController controller) {
		this.dependencies = dependencies;
		this.table = table;
		this.controller = controller;
		dependencies.transport()
			.subscribe(HandOverOffer.class, (from, offer) -> CompletableFuture.completedFuture(
					new HandOverAnswer(dependencies.lease().isValid() && !isDraining(), dependencies.lease().epoch())));
	}

	boolean isDraining() {
		return this.drained != null;
	}

	CompletableFuture<Void> drain() {
		if (this.drained == null) {
			this.dependencies.steps().reached(Step.DRAIN);
			this.drained = new CompletableFuture<>();
			tick();
		}
		return this.drained;
	}

	void tick() {
		CompletableFuture<Void> draining = this.drained;
		if (draining == null) {
			rebalance();
			return;
		}
		List<PartitionHome> homes = this.controller.homes();
		if (homes.isEmpty()) {
			draining.complete(null);
		}
		homes.forEach(this::move);
	}

	private void rebalance() {
		long nowMs = this.dependencies.timer().nowMs();
		if (nowMs - this.lastVoluntaryMs < this.dependencies.settings().rebalanceMs() || !this.moving.isEmpty()) {
			return;
		}
		for (PartitionHome home : this.controller.homes()) {
			InstanceId preferred = successor(home, this.dependencies.members().members());
			if (preferred != null && !preferred.equals(this.dependencies.transport().self()) && home.isIdle()) {
				this.lastVoluntaryMs = nowMs;
				move(home);
				return;
			}
		}
	}

	boolean isMoving(PartitionHome home) {
		return this.moving.contains(home.name());
	}

	private @Nullable InstanceId successor(PartitionHome home, List<Member> members) {
		String partition = home.name();
		AvailabilityZone zone = PartitionRecord.zoneOf(partition);
		return RendezvousReplicaSelector.owner(partition, zone, members);
	}

	private void move(PartitionHome home) {
		home.setFrozen(true);
		List<Member> others = this.dependencies.members()
			.members()
			.stream()
			.filter((member) -> !member.id().equals(this.dependencies.transport().self()))
			.toList();
		InstanceId successor = successor(home, others);
		// The successor recovers from the replicas, so they have to hold everything.
		boolean isReady = successor != null && home.isIdle() && home.log().isFullyReplicated();
		if (successor == null || !isReady || !this.moving.add(home.name())) {
			if (!this.moving.contains(home.name())) {
				home.setFrozen(isDraining());
			}
			return;
		}
		this.dependencies.transport()
			.request(successor, new HandOverOffer(home.name()), HandOverAnswer.class,
					this.dependencies.settings().appendTimeoutMs())
			.whenComplete((answer, error) -> {
				if (error == null && answer.isAccepted() && this.dependencies.lease().isValid() && !home.isLost()) {
					write(home, home.hint().record().withOwner(successor, answer.leaseEpoch()));
				}
				else {
					end(home);
				}
			});
	}

	private void write(PartitionHome home, PartitionRecord record) {
		this.dependencies.steps().reached(Step.HAND_OVER);
		this.dependencies.store()
			.update(PartitionRecord.KIND, home.name(), home.hint().version(), Json.write(record))
			.whenComplete((object, error) -> {
				if (error == null) {
					this.table.learn(object);
					given(home);
				}
				else {
					reread(home);
				}
			});
	}

	private void reread(PartitionHome home) {
		this.dependencies.store().get(PartitionRecord.KIND, home.name()).whenComplete((object, error) -> {
			if (error != null && !home.isLost()) {
				this.dependencies.timer().schedule(this.dependencies.settings().retryMs(), () -> reread(home));
				return;
			}
			if (error == null) {
				this.table.learn(object);
			}
			PartitionHint newest = this.table.find(home.name());
			boolean isGiven = newest != null && newest.record().partitionEpoch() != home.log().epoch();
			if (isGiven) {
				given(home);
			}
			else {
				if (newest != null) {
					home.setHint(newest);
				}
				end(home);
			}
		});
	}

	private void given(PartitionHome home) {
		PartitionHint newest = this.table.find(home.name());
		this.moving.remove(home.name());
		this.controller.drop(home);
		if (newest != null) {
			this.dependencies.transport().send(newest.record().owner(), newest);
		}
	}

	private void end(PartitionHome home) {
		this.moving.remove(home.name());
		home.setFrozen(isDraining());
	}

}
