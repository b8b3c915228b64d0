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
 * the new owner. Every replica has to answer or have its lease fenced, and at least one
 * has to answer, unless the record names no replicas.
 */
final class PartitionRecovery {

	private static final long READ_RETRY_MS = 500;

	private final String partition;

	private final PartitionRecord record;

	private final ProgramDependencies dependencies;

	private final ReplicaLog localReplicaLog;

	private final CompletableFuture<PartitionLog> result = new CompletableFuture<>();

	private final Map<InstanceId, Map<ProgramId, LogChain>> chainsByReplica = new TreeMap<>();

	private final Set<InstanceId> fencedReplicas = new HashSet<>();

	PartitionRecovery(String partition, PartitionRecord record, ProgramDependencies dependencies,
			ReplicaLog localReplicaLog) {
		this.partition = partition;
		this.record = record;
		this.dependencies = dependencies;
		this.localReplicaLog = localReplicaLog;
	}

	/**
	 * Starts to read the replicas.
	 * @return completes with the log of the new owner; fails with
	 * {@link HomeLostException} if a replica has seen a newer epoch or the recovery is
	 * aborted
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

	private void readPage(InstanceId replica, Map<ProgramId, LogChain> chains, String afterProgram) {
		if (this.result.isDone()) {
			return;
		}
		LogReadRequest request = new LogReadRequest(this.partition, this.record.partitionEpoch(), afterProgram);
		if (replica.equals(this.dependencies.transport().self())) {
			processPage(replica, chains, this.localReplicaLog.read(request));
			return;
		}
		this.dependencies.transport()
			.request(replica, request, LogReadAnswer.class, this.dependencies.settings().appendTimeoutMs())
			.whenComplete((answer, error) -> {
				if (error == null) {
					processPage(replica, chains, answer);
				}
				else {
					fenceAndRetry(replica, chains, afterProgram);
				}
			});
	}

	private void fenceAndRetry(InstanceId replica, Map<ProgramId, LogChain> chains, String afterProgram) {
		this.dependencies.lease().fence(replica).whenComplete((isFenced, error) -> {
			if (error == null && isFenced) {
				this.fencedReplicas.add(replica);
				finishIfComplete();
			}
			// A fenced replica may merely be paused, so it is queried again until the
			// recovery completes with the answer of another replica.
			this.dependencies.timer().schedule(READ_RETRY_MS, () -> readPage(replica, chains, afterProgram));
		});
	}

	private void processPage(InstanceId replica, Map<ProgramId, LogChain> chains, LogReadAnswer answer) {
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
						() -> "replica " + replica + " stores a corrupt chain of " + entry.program());
		}
		if (!answer.nextAfter().isEmpty()) {
			readPage(replica, chains, answer.nextAfter());
			return;
		}
		this.chainsByReplica.put(replica, chains);
		this.dependencies.events()
			.record("partition.read", "partition", this.partition, "replica", replica, "programs", chains.size());
		finishIfComplete();
	}

	private void finishIfComplete() {
		boolean isEachReadOrFenced = this.record.replicas()
			.stream()
			.allMatch((replica) -> this.chainsByReplica.containsKey(replica) || this.fencedReplicas.contains(replica));
		if (!this.result.isDone() && isEachReadOrFenced && !this.chainsByReplica.isEmpty()) {
			finish();
		}
	}

	private void finish() {
		Map<ProgramId, LogChain> newestChains = new TreeMap<>((a, b) -> a.toString().compareTo(b.toString()));
		this.chainsByReplica.values()
			.forEach((chains) -> chains.forEach((program, chain) -> newestChains.merge(program, chain,
					(first, second) -> second.isNewerThan(first) ? second : first)));
		PartitionLog log = new PartitionLog(this.partition, this.record.partitionEpoch(), this.dependencies);
		newestChains.values().forEach((chain) -> log.addChain(copyOf(chain)));
		this.chainsByReplica.forEach((replica, chains) -> {
			if (!replica.equals(this.dependencies.transport().self())) {
				ReplicaLink link = log.openLink(replica);
				link.completeHandshake();
				newestChains.forEach((program, chain) -> {
					LogChain replicaChain = chains.get(program);
					link.setAcknowledgedSequence(program,
							(replicaChain != null) ? replicaChain.commonPrefixLength(chain) : 0);
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
