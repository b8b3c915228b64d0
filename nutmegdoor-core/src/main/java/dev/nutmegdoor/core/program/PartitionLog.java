package dev.nutmegdoor.core.program;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.ProgramId;

/**
 * Owner's side of the replicated log of a partition. An entry is acknowledged when all
 * replicas hold it; a relaxed append also when the reachable ones do and there is at
 * least one.
 */
final class PartitionLog {

	private final String partition;

	private final long epoch;

	private final ProgramDependencies dependencies;

	private final Map<ProgramId, LogChain> chains = new LinkedHashMap<>();

	private final Map<InstanceId, ReplicaLink> links = new TreeMap<>();

	private final List<PendingAppend> pendingAppends = new ArrayList<>();

	private Set<InstanceId> requiredReplicas = new TreeSet<>();

	private @Nullable String lostReason;

	private long degradedAppends;

	PartitionLog(String partition, long epoch, ProgramDependencies dependencies) {
		this.partition = partition;
		this.epoch = epoch;
		this.dependencies = dependencies;
	}

	long epoch() {
		return this.epoch;
	}

	@Nullable String lostReason() {
		return this.lostReason;
	}

	long degradedAppends() {
		return this.degradedAppends;
	}

	Map<ProgramId, LogChain> chains() {
		return this.chains;
	}

	@Nullable ReplicaLink findLink(InstanceId replica) {
		return this.links.get(replica);
	}

	void addChain(LogChain chain) {
		this.chains.put(chain.program(), chain);
	}

	/**
	 * Starts to send everything to an instance.
	 * @param replica the instance
	 * @return the link
	 */
	ReplicaLink openLink(InstanceId replica) {
		return this.links.computeIfAbsent(replica, (id) -> {
			ReplicaLink link = new ReplicaLink(id);
			this.chains.keySet().forEach(link::markPending);
			return link;
		});
	}

	/**
	 * Sets the replicas whose acknowledgement counts. While a change of the record is
	 * under way these are the old and the new ones.
	 * @param replicas the replicas
	 */
	void setRequiredReplicas(Set<InstanceId> replicas) {
		this.requiredReplicas = new TreeSet<>(replicas);
		this.requiredReplicas.forEach(this::openLink);
		sendPending();
		completeDurableAppends();
	}

	void closeLink(InstanceId replica) {
		if (!this.requiredReplicas.contains(replica)) {
			this.links.remove(replica);
		}
	}

	LogEntry add(ProgramId program, EntryType type, Object body) {
		LogChain chain = this.chains.computeIfAbsent(program, LogChain::new);
		LogEntry entry = chain.add(this.epoch, type, Json.write(body));
		this.links.values().forEach((link) -> link.markPending(program));
		return entry;
	}

	/**
	 * Waits until an entry and all before it are durable.
	 * @param entry the entry
	 * @param isStrict whether all replicas of the record must hold it
	 * @return completes when it is; fails with {@link HomeLostException}
	 */
	CompletableFuture<LogEntry> awaitAcknowledgement(LogEntry entry, boolean isStrict) {
		if (this.lostReason != null) {
			return CompletableFuture.failedFuture(new HomeLostException(this.lostReason));
		}
		this.dependencies.steps().reached(Step.APPEND);
		PendingAppend append = new PendingAppend(entry, isStrict);
		this.pendingAppends.add(append);
		sendPending();
		completeDurableAppends();
		return append.future;
	}

	/**
	 * Returns whether the reachable replicas hold all entries, which a new owner awaits
	 * before it serves. If none is reachable the owner serves what it has read; it can
	 * acknowledge nothing new until a replica is replaced.
	 * @return whether they do
	 */
	boolean isSynced() {
		return this.requiredReplicas.stream()
			.map(this::openLink)
			.allMatch((link) -> link.isSynced() || !link.isReachable());
	}

	/**
	 * Returns whether all replicas hold all entries, so that the owner itself is not
	 * needed.
	 * @return whether they do and there is at least one
	 */
	boolean isFullyReplicated() {
		return !this.requiredReplicas.isEmpty() && this.requiredReplicas.stream()
			.map(this::openLink)
			.allMatch((link) -> link.isSynced() && link.isReachable());
	}

	void remove(ProgramId program) {
		this.chains.remove(program);
		this.links.values().forEach((link) -> link.remove(program));
	}

	/**
	 * Sends again what is not acknowledged and completes waiting appends.
	 */
	void tick() {
		sendPending();
		completeDurableAppends();
	}

	/**
	 * Ends the log: another instance owns the partition.
	 * @param reason why
	 */
	void markLost(String reason) {
		if (this.lostReason != null) {
			return;
		}
		this.lostReason = reason;
		List<PendingAppend> failedAppends = new ArrayList<>(this.pendingAppends);
		this.pendingAppends.clear();
		failedAppends.forEach((append) -> append.future.completeExceptionally(new HomeLostException(reason)));
	}

	private void sendPending() {
		if (this.lostReason != null) {
			return;
		}
		for (ReplicaLink link : new ArrayList<>(this.links.values())) {
			if (link.isReadyToSend()) {
				send(link);
			}
		}
	}

	private void send(ReplicaLink link) {
		int maxEntries = this.dependencies.settings().batchEntries();
		List<LogEntry> batch = link.nextBatch(this.chains, maxEntries);
		List<ProgramId> removedPrograms = link.pendingRemovals();
		boolean isOnlyReplica = this.requiredReplicas.stream()
			.filter((id) -> !id.equals(link.replica()))
			.noneMatch((id) -> openLink(id).isReachable());
		boolean isHandshake = !link.isHandshakeComplete();
		AppendRequest request = new AppendRequest(this.partition, this.epoch, batch, isOnlyReplica, isHandshake,
				removedPrograms);
		link.markSent();
		this.dependencies.transport()
			.request(link.replica(), request, AppendAnswer.class, this.dependencies.settings().appendTimeoutMs())
			.whenComplete((answer, error) -> {
				if (this.lostReason != null) {
					return;
				}
				if (error != null) {
					link.handleFailure(this.dependencies.timer().nowMs());
				}
				else if (!answer.isAccepted()) {
					markLost("replica " + link.replica() + " knows epoch " + answer.epoch());
					return;
				}
				else {
					link.handleAnswer(answer, removedPrograms, this.chains);
					if (isHandshake) {
						link.completeHandshake();
					}
				}
				completeDurableAppends();
				if (error == null) {
					sendPending();
				}
			});
	}

	private void completeDurableAppends() {
		if (this.pendingAppends.isEmpty() || !this.dependencies.lease().isValid()) {
			return;
		}
		List<PendingAppend> durableAppends = this.pendingAppends.stream().filter(this::isDurable).toList();
		this.pendingAppends.removeAll(durableAppends);
		for (PendingAppend append : durableAppends) {
			if (!isStoredByAll(append.entry)) {
				this.degradedAppends++;
			}
			this.dependencies.events()
				.record("log.acknowledged", "program", append.entry.program(), "sequence", append.entry.sequence(),
						"hash", append.entry.hash(), "epoch", this.epoch);
			this.dependencies.steps().reached(Step.APPEND_DONE);
			append.future.complete(append.entry);
		}
	}

	private boolean isStoredByAll(LogEntry entry) {
		return this.requiredReplicas.size() >= this.dependencies.settings().intentCopies()
				&& this.requiredReplicas.stream().allMatch((id) -> isStoredBy(id, entry));
	}

	private boolean isStoredBy(InstanceId replica, LogEntry entry) {
		return openLink(replica).acknowledgedSequence(entry.program()) >= entry.sequence();
	}

	private boolean isDurable(PendingAppend append) {
		if (append.isStrict) {
			return isStoredByAll(append.entry);
		}
		boolean isStoredByAny = this.requiredReplicas.isEmpty();
		for (InstanceId replica : this.requiredReplicas) {
			boolean isStored = isStoredBy(replica, append.entry);
			if (!isStored && openLink(replica).isReachable()) {
				return false;
			}
			isStoredByAny |= isStored;
		}
		return isStoredByAny;
	}

	private static final class PendingAppend {

		private final LogEntry entry;

		private final boolean isStrict;

		private final CompletableFuture<LogEntry> future = new CompletableFuture<>();

		private PendingAppend(LogEntry entry, boolean isStrict) {
			this.entry = entry;
			this.isStrict = isStrict;
		}

	}

}
