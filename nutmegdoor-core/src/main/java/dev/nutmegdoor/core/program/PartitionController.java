package dev.nutmegdoor.core.program;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.lease.LeaseState;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MemberState;
import dev.nutmegdoor.core.store.ObjectStore;

/**
 * Claims partitions without an owner, takes over those of fenced owners, and keeps the
 * partitions that this instance owns replicated. An instance recovers and serves a
 * partition when the stored record names it as owner with the epoch of its current lease.
 * A claim that reached the store but whose response was lost is therefore detected on the
 * next read.
 */
public final class PartitionController {

	/** Bounds the concurrent store writes when an instance takes over many partitions. */
	private static final int MAX_PENDING_CLAIMS = 8;

	private final ProgramDependencies dependencies;

	private final PartitionTable table;

	private final ReplicaLog replicaLog;

	private final ReplicaMaintainer maintainer;

	private final HandOver handOver;

	private final Map<String, PartitionHome> homes = new TreeMap<>();

	private final Map<String, PartitionRecovery> recoveries = new HashMap<>();

	private final Map<String, Long> recoveredEpochs = new HashMap<>();

	private final Set<String> pendingClaims = new HashSet<>();

	private final Set<InstanceId> pendingFences = new HashSet<>();

	private final List<HomeListener> listeners = new ArrayList<>();

	public PartitionController(ProgramDependencies dependencies, Safeguards safeguards) {
		this.dependencies = dependencies;
		this.table = new PartitionTable(dependencies.store(), dependencies.timer(),
				dependencies.settings().tableRefreshMs());
		this.replicaLog = new ReplicaLog(dependencies.transport(), dependencies.events(), safeguards.isEpochChecked());
		this.maintainer = new ReplicaMaintainer(dependencies, this.table);
		this.handOver = new HandOver(dependencies, this.table, this);
		dependencies.transport().subscribe(PartitionHint.class, (from, hint) -> {
			this.table.updateIfNewer(hint);
			reconcile(hint.partition());
			return null;
		});
		dependencies.lease().subscribe((state) -> {
			if (state == LeaseState.FENCED) {
				new ArrayList<>(this.homes.values()).forEach((home) -> home.log().markLost("the lease was fenced"));
				List.copyOf(this.recoveries.values()).forEach((recovery) -> recovery.abort("the lease was fenced"));
			}
			tick();
		});
		dependencies.timer().subscribe(dependencies.settings().tickMs(), this::tick);
	}

	public PartitionTable table() {
		return this.table;
	}

	void subscribe(HomeListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns a partition if this instance may serve it now.
	 * @param partition name of the partition
	 * @return the home, or {@code null} if the partition is not owned, its log is lost or
	 * the lease of this instance is not valid
	 */
	@Nullable PartitionHome servedHome(String partition) {
		PartitionHome home = this.homes.get(partition);
		return (home != null && !home.isLost() && this.dependencies.lease().isValid()) ? home : null;
	}

	List<PartitionHome> homes() {
		return new ArrayList<>(this.homes.values());
	}

	ReplicaLog replicaLog() {
		return this.replicaLog;
	}

	/**
	 * Hands over all partitions of this instance, each as soon as its running calls have
	 * ended. Later calls return the same future.
	 * @return completes when this instance owns no partition
	 */
	public CompletableFuture<Void> drain() {
		return this.handOver.drain();
	}

	public boolean isDraining() {
		return this.handOver.isDraining();
	}

	/**
	 * Returns a snapshot for operators.
	 * @return an immutable copy of the current state
	 */
	public PartitionDump dump() {
		return new PartitionDump(
				this.homes.values()
					.stream()
					.map((home) -> new PartitionDump.Owned(home.name(), home.log().epoch(), home.programs().size(),
							home.hint().record().replicas(), home.log().degradedAppends(), home.isFrozen()))
					.toList(),
				List.copyOf(this.recoveries.keySet()), this.replicaLog.replicatedPrograms(),
				this.replicaLog.soleCopies(), this.table.snapshot().size());
	}

	private void tick() {
		for (PartitionHome home : homes()) {
			if (home.isLost()) {
				stopServing(home);
			}
			else {
				home.log().tick();
			}
		}
		if (!this.dependencies.lease().isValid()) {
			return;
		}
		this.table.refreshIfDue();
		homes().stream().filter((home) -> !this.handOver.isInProgress(home)).forEach(this.maintainer::maintain);
		this.handOver.tick();
		if (this.table.isLoaded() && !this.handOver.isDraining()) {
			reconcileAll();
		}
	}

	private void reconcileAll() {
		Set<String> names = new HashSet<>();
		for (AvailabilityZone zone : this.dependencies.settings().keyZones()) {
			for (int i = 0; i < this.dependencies.settings().partitionsPerZone(); i++) {
				names.add(zone + "." + i);
			}
		}
		names.stream().sorted().forEach(this::reconcile);
	}

	private void reconcile(String partition) {
		boolean isOwnedOrPending = this.homes.containsKey(partition) || this.recoveries.containsKey(partition)
				|| this.pendingClaims.contains(partition);
		if (isOwnedOrPending || !this.dependencies.lease().isValid() || this.handOver.isDraining()) {
			return;
		}
		InstanceId self = this.dependencies.transport().self();
		PartitionHint hint = this.table.find(partition);
		if (hint != null && hint.record().owner().equals(self)) {
			boolean isRecoverable = hint.record().leaseEpoch() == this.dependencies.lease().epoch()
					&& this.recoveredEpochs.getOrDefault(partition, 0L) < hint.record().partitionEpoch();
			if (isRecoverable) {
				recover(hint);
			}
			else {
				// An epoch is served at most once: delayed appends from an earlier
				// service under the same epoch could conflict with new ones.
				claim(partition, hint);
			}
			return;
		}
		if (!isPreferredOwner(partition)) {
			return;
		}
		if (hint == null) {
			claim(partition, null);
			return;
		}
		Member owner = this.dependencies.members().member(hint.record().owner());
		boolean isOwnerUnresponsive = owner == null || owner.state() == MemberState.SUSPECT
				|| owner.state() == MemberState.GONE;
		if (isOwnerUnresponsive) {
			fenceAndClaim(hint);
		}
	}

	private void fenceAndClaim(PartitionHint hint) {
		InstanceId owner = hint.record().owner();
		if (!this.pendingFences.add(owner)) {
			return;
		}
		this.dependencies.lease().fence(owner).whenComplete((isFenced, error) -> {
			this.pendingFences.remove(owner);
			if (error != null || !isFenced) {
				return;
			}
			this.table.snapshot()
				.values()
				.stream()
				.filter((other) -> other.record().owner().equals(owner) && isPreferredOwner(other.partition()))
				.sorted((a, b) -> a.partition().compareTo(b.partition()))
				.forEach((other) -> claim(other.partition(), other));
		});
	}

	private boolean isPreferredOwner(String partition) {
		InstanceId preferred = RendezvousReplicaSelector.owner(partition, PartitionRecord.zoneOf(partition),
				this.dependencies.members().members());
		return this.dependencies.transport().self().equals(preferred);
	}

	private void claim(String partition, @Nullable PartitionHint hint) {
		if (this.pendingClaims.size() >= MAX_PENDING_CLAIMS || !this.dependencies.lease().isValid()
				|| !this.pendingClaims.add(partition)) {
			return;
		}
		InstanceId self = this.dependencies.transport().self();
		long leaseEpoch = this.dependencies.lease().epoch();
		PartitionRecord record = (hint != null) ? hint.record().withOwner(self, leaseEpoch)
				: new PartitionRecord(self, leaseEpoch, 1, RendezvousReplicaSelector.replicas(partition,
						this.dependencies.members().self(), List.of(), this.dependencies.members().members()));
		this.dependencies.steps().reached(Step.TAKEOVER_CLAIM);
		ObjectStore store = this.dependencies.store();
		((hint != null) ? store.update(PartitionRecord.KIND, partition, hint.version(), Json.write(record))
				: store.create(PartitionRecord.KIND, partition, Json.write(record)))
			.whenComplete((object, error) -> {
				if (error == null) {
					this.table.updateIfNewer(object);
					this.pendingClaims.remove(partition);
					reconcile(partition);
					return;
				}
				this.table.reload(partition).whenComplete((ignored, failure) -> {
					this.pendingClaims.remove(partition);
					reconcile(partition);
				});
			});
	}

	private void recover(PartitionHint hint) {
		String partition = hint.partition();
		this.recoveredEpochs.put(partition, hint.record().partitionEpoch());
		PartitionRecovery recovery = new PartitionRecovery(partition, hint.record(), this.dependencies,
				this.replicaLog);
		this.recoveries.put(partition, recovery);
		this.dependencies.events()
			.record("partition.recovering", "partition", partition, "epoch", hint.record().partitionEpoch(), "replicas",
					hint.record().replicas());
		recovery.start().whenComplete((log, error) -> {
			if (error != null) {
				this.recoveries.remove(partition);
				this.table.reload(partition);
				return;
			}
			log.setRequiredReplicas(this.maintainer.remoteReplicas(hint.record()));
			serveWhenSynced(hint, log);
		});
	}

	private void serveWhenSynced(PartitionHint hint, PartitionLog log) {
		log.tick();
		String partition = hint.partition();
		if (log.lostReason() != null || this.dependencies.lease().epoch() != hint.record().leaseEpoch()) {
			log.markLost("lost before it was served");
			this.recoveries.remove(partition);
			this.table.reload(partition);
			return;
		}
		if (!log.isSynced() || !this.dependencies.lease().isValid()) {
			this.dependencies.timer().schedule(20, () -> serveWhenSynced(hint, log));
			return;
		}
		this.recoveries.remove(partition);
		PartitionHint newest = this.table.find(partition);
		PartitionHome home = new PartitionHome((newest != null) ? newest : hint, log);
		this.homes.put(partition, home);
		this.dependencies.events()
			.record("partition.served", "partition", partition, "epoch", log.epoch(), "programs",
					home.programs().size());
		this.listeners.forEach((listener) -> listener.opened(home));
	}

	// Has no effect if the partition is not served any more.
	void stopServing(PartitionHome home) {
		if (!this.homes.remove(home.name(), home)) {
			return;
		}
		home.log().markLost("the partition was given up");
		this.dependencies.events()
			.record("partition.lost", "partition", home.name(), "epoch", home.log().epoch(), "reason",
					String.valueOf(home.log().lostReason()));
		this.listeners.forEach((listener) -> listener.lost(home));
		this.table.reload(home.name());
	}

}
