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
 * Acquires partitions, takes over those of fenced owners, and keeps what is owned
 * replicated. Whoever is named by a record with the epoch of its own lease recovers the
 * partition and serves it; so a claim whose answer was lost is recognised on the next
 * read.
 */
public final class PartitionController {

	/** Bounds the store writes of one instance that takes over many partitions. */
	private static final int CLAIMS_AT_ONCE = 8;

	private final ProgramDependencies dependencies;

	private final PartitionTable table;

	private final ReplicaLog replicaLog;

	private final ReplicaMaintainer maintainer;

	private final HandOver handOver;

	private final Map<String, PartitionHome> homes = new TreeMap<>();

	private final Map<String, PartitionRecovery> recoveries = new HashMap<>();

	private final Map<String, Long> recoveredEpochs = new HashMap<>();

	private final Set<String> claims = new HashSet<>();

	private final Set<InstanceId> fencing = new HashSet<>();

	private final List<HomeListener> listeners = new ArrayList<>();

	public PartitionController(ProgramDependencies dependencies, Safeguards safeguards) {
		this.dependencies = dependencies;
		this.table = new PartitionTable(dependencies.store(), dependencies.timer(),
				dependencies.settings().tableRefreshMs());
		this.replicaLog = new ReplicaLog(dependencies.transport(), dependencies.events(), safeguards.isEpochChecked());
		this.maintainer = new ReplicaMaintainer(dependencies, this.table);
		this.handOver = new HandOver(dependencies, this.table, this);
		dependencies.transport().subscribe(PartitionHint.class, (from, hint) -> {
			this.table.learn(hint);
			inspect(hint.partition());
			return null;
		});
		dependencies.lease().subscribe((state) -> {
			if (state == LeaseState.FENCED) {
				new ArrayList<>(this.homes.values()).forEach((home) -> home.log().lose("the lease was fenced"));
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
	 * Returns a partition that this instance may serve now.
	 * @param partition name of the partition
	 * @return the home, or {@code null}
	 */
	@Nullable PartitionHome serving(String partition) {
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
	 * Hands over everything that this instance owns, each partition when its calls have
	 * ended.
	 * @return completes when nothing is owned any more
	 */
	public CompletableFuture<Void> drain() {
		return this.handOver.drain();
	}

	public boolean isDraining() {
		return this.handOver.isDraining();
	}

	/**
	 * Returns the state of the controller.
	 * @return an immutable copy
	 */
	public PartitionDump dump() {
		return new PartitionDump(
				this.homes.values()
					.stream()
					.map((home) -> new PartitionDump.Owned(home.name(), home.log().epoch(), home.programs().size(),
							home.hint().record().replicas(), home.log().degradedAppends(), home.isFrozen()))
					.toList(),
				List.copyOf(this.recoveries.keySet()), this.replicaLog.heldPrograms(), this.replicaLog.soleCopies(),
				this.table.snapshot().size());
	}

	private void tick() {
		for (PartitionHome home : homes()) {
			if (home.isLost()) {
				drop(home);
			}
			else {
				home.log().tick();
			}
		}
		if (!this.dependencies.lease().isValid()) {
			return;
		}
		this.table.refreshIfDue();
		homes().stream().filter((home) -> !this.handOver.isMoving(home)).forEach(this.maintainer::maintain);
		this.handOver.tick();
		if (this.table.isLoaded() && !this.handOver.isDraining()) {
			inspectAll();
		}
	}

	private void inspectAll() {
		Set<String> names = new HashSet<>();
		for (AvailabilityZone zone : this.dependencies.settings().keyZones()) {
			for (int i = 0; i < this.dependencies.settings().partitionsPerZone(); i++) {
				names.add(zone + "." + i);
			}
		}
		names.stream().sorted().forEach(this::inspect);
	}

	private void inspect(String partition) {
		boolean isBusy = this.homes.containsKey(partition) || this.recoveries.containsKey(partition)
				|| this.claims.contains(partition);
		if (isBusy || !this.dependencies.lease().isValid() || this.handOver.isDraining()) {
			return;
		}
		InstanceId self = this.dependencies.transport().self();
		PartitionHint hint = this.table.find(partition);
		if (hint != null && hint.record().owner().equals(self)) {
			boolean isOwn = hint.record().leaseEpoch() == this.dependencies.lease().epoch()
					&& this.recoveredEpochs.getOrDefault(partition, 0L) < hint.record().partitionEpoch();
			if (isOwn) {
				recover(hint);
			}
			else {
				// An epoch is served at most once, because late appends of an earlier
				// service under it could otherwise differ from new ones.
				claim(partition, hint);
			}
			return;
		}
		if (!isChosen(partition)) {
			return;
		}
		if (hint == null) {
			claim(partition, null);
			return;
		}
		Member owner = this.dependencies.members().member(hint.record().owner());
		boolean isSilent = owner == null || owner.state() == MemberState.SUSPECT || owner.state() == MemberState.GONE;
		if (isSilent) {
			fenceAndClaim(hint);
		}
	}

	private void fenceAndClaim(PartitionHint hint) {
		InstanceId owner = hint.record().owner();
		if (!this.fencing.add(owner)) {
			return;
		}
		this.dependencies.lease().fence(owner).whenComplete((isFenced, error) -> {
			this.fencing.remove(owner);
			if (error != null || !isFenced) {
				return;
			}
			this.table.snapshot()
				.values()
				.stream()
				.filter((other) -> other.record().owner().equals(owner) && isChosen(other.partition()))
				.sorted((a, b) -> a.partition().compareTo(b.partition()))
				.forEach((other) -> claim(other.partition(), other));
		});
	}

	private boolean isChosen(String partition) {
		InstanceId chosen = RendezvousReplicaSelector.owner(partition, PartitionRecord.zoneOf(partition),
				this.dependencies.members().members());
		return this.dependencies.transport().self().equals(chosen);
	}

	private void claim(String partition, @Nullable PartitionHint hint) {
		if (this.claims.size() >= CLAIMS_AT_ONCE || !this.dependencies.lease().isValid()
				|| !this.claims.add(partition)) {
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
					this.table.learn(object);
					this.claims.remove(partition);
					inspect(partition);
					return;
				}
				this.table.reload(partition).whenComplete((ignored, failure) -> {
					this.claims.remove(partition);
					inspect(partition);
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
			log.setRequired(this.maintainer.remoteReplicas(hint.record()));
			awaitSync(hint, log);
		});
	}

	private void awaitSync(PartitionHint hint, PartitionLog log) {
		log.tick();
		String partition = hint.partition();
		if (log.lostReason() != null || this.dependencies.lease().epoch() != hint.record().leaseEpoch()) {
			log.lose("lost before it was served");
			this.recoveries.remove(partition);
			this.table.reload(partition);
			return;
		}
		if (!log.isSynced() || !this.dependencies.lease().isValid()) {
			this.dependencies.timer().schedule(20, () -> awaitSync(hint, log));
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

	// Ends the service of a partition.
	void drop(PartitionHome home) {
		if (!this.homes.remove(home.name(), home)) {
			return;
		}
		home.log().lose("the partition was given up");
		this.dependencies.events()
			.record("partition.lost", "partition", home.name(), "epoch", home.log().epoch(), "reason",
					String.valueOf(home.log().lostReason()));
		this.listeners.forEach((listener) -> listener.lost(home));
		this.table.reload(home.name());
	}

}
