package dev.nutmegdoor.core.program;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.invariant.Invariant;

/**
 * Raises the epoch at the replicas of a partition, reads their logs and builds the log of
 * the new owner. A replica that does not answer is waited for until its lease is fenced;
 * at least one replica has to answer.
 */
final class PartitionRecovery {

	private static final long RETRY_MS = 500;

	private final String partition;

	private final PartitionRecord record;

	private final ProgramDependencies dependencies;

	private final ReplicaLog ownReplica;

	private final CompletableFuture<PartitionLog> result = new CompletableFuture<>();

	private final Map<InstanceId, Map<ProgramId, LogChain>> read = new TreeMap<>();

	private final Set<InstanceId> gone = new HashSet<>();

	PartitionRecovery(String partition, PartitionRecord record, ProgramDependencies dependencies,
			ReplicaLog ownReplica) {
		this.partition = partition;
		this.record = record;
		this.dependencies = dependencies;
		this.ownReplica = ownReplica;
	}

	/**
	 * Starts the recovery.
	 * @return the log; fails with {@link HomeLostException} if another owner is newer
	 */
	CompletableFuture<PartitionLog> start() {
		this.dependencies.steps().reached(Step.TAKEOVER_READ);
		if (this.record.replicas().isEmpty()) {
			finish();
		}
		for (InstanceId replica : this.record.replicas()) {
			readPage(replica, new HashMap<>(), "");
		}
		return this.result;
	}

	void abort(String reason) {
		this.result.completeExceptionally(new HomeLostException(reason));
	}

	private void readPage(InstanceId replica, Map<ProgramId, LogChain> chains, String after) {
		if (this.result.isDone()) {
			return;
		}
		LogReadRequest request = new LogReadRequest(this.partition, this.record.partitionEpoch(), after);
		if (replica.equals(this.dependencies.transport().self())) {
			take(replica, chains, this.ownReplica.read(request));
			return;
		}
		this.dependencies.transport()
			.request(replica, request, LogReadAnswer.class, this.dependencies.settings().appendTimeoutMs())
			.whenComplete((answer, error) -> {
				if (error == null) {
					take(replica, chains, answer);
				}
				else {
					retry(replica, chains, after);
				}
			});
	}

	private void retry(InstanceId replica, Map<ProgramId, LogChain> chains, String after) {
		this.dependencies.lease().fence(replica).whenComplete((isFenced, error) -> {
			if (error == null && isFenced) {
				this.gone.add(replica);
				finishIfComplete();
			}
			// A fenced replica may only be paused: it is asked again as long as no other
			// replica has answered.
			this.dependencies.timer().schedule(RETRY_MS, () -> readPage(replica, chains, after));
		});
	}

	private void take(InstanceId replica, Map<ProgramId, LogChain> chains, LogReadAnswer answer) {
		if (this.result.isDone()) {
			return;
		}
		if (!answer.isAccepted()) {
			abort("replica " + replica + " knows epoch " + answer.epoch());
			return;
		}
		for (LogEntry entry : answer.entries()) {
			boolean isIntact = chains.computeIfAbsent(entry.program(), LogChain::new).accept(entry);
			this.dependencies.invariants()
				.check(Invariant.HISTORY_INTEGRITY, isIntact,
						() -> "replica " + replica + " holds a broken chain of " + entry.program());
		}
		if (!answer.nextAfter().isEmpty()) {
			readPage(replica, chains, answer.nextAfter());
			return;
		}
		this.read.put(replica, chains);
		this.dependencies.events()
			.record("partition.read", "partition", this.partition, "replica", replica, "programs", chains.size());
		finishIfComplete();
	}

	private void finishIfComplete() {
		boolean isEachResolved = this.record.replicas()
			.stream()
			.allMatch((replica) -> this.read.containsKey(replica) || this.gone.contains(replica));
		if (!this.result.isDone() && isEachResolved && !this.read.isEmpty()) {
			finish();
		}
	}

	private void finish() {
		Map<ProgramId, LogChain> adopted = new TreeMap<>((a, b) -> a.toString().compareTo(b.toString()));
		this.read.values()
			.forEach((chains) -> chains.forEach((program, chain) -> adopted.merge(program, chain,
					(one, other) -> other.isNewerThan(one) ? other : one)));
		PartitionLog log = new PartitionLog(this.partition, this.record.partitionEpoch(), this.dependencies);
		adopted.values().forEach((chain) -> log.adopt(copyOf(chain)));
		this.read.forEach((replica, chains) -> {
			if (!replica.equals(this.dependencies.transport().self())) {
				ReplicaLink link = log.join(replica);
				link.completeHandshake();
				adopted.forEach((program, chain) -> {
					LogChain held = chains.get(program);
					link.setAcknowledged(program, (held != null) ? held.commonLength(chain) : 0);
				});
			}
		});
		this.result.complete(log);
	}

	private static LogChain copyOf(LogChain chain) {
		LogChain copy = new LogChain(chain.program());
		chain.entries().forEach(copy::accept);
		return copy;
	}

}
