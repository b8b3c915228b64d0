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
 * The owner's side of the replicated log of a partition. A strict append is acknowledged
 * when all replicas have stored the entry, and these are at least as many as configured.
 * Any other append is acknowledged when all reachable replicas have stored it and at
 * least one replica has, or when there are no replicas.
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
	 * Starts to replicate all chains to an instance, unless it is linked already.
	 * @param replica the instance
	 * @return the new or existing link
	 */
	ReplicaLink openLink(InstanceId replica) {
		return this.links.computeIfAbsent(replica, (id) -> {
			ReplicaLink link = new ReplicaLink(id);
			this.chains.keySet().forEach(link::markPending);
			return link;
		});
	}

	/**
	 * Sets the replicas whose acknowledgements make an entry durable, and completes the
	 * appends that became durable with them.
	 * @param replicas replicas of the stored record; while an update of the record is in
	 * progress, those before and after it
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
	 * Waits until an entry and all entries before it in its chain are durable.
	 * @param entry an entry of this log
	 * @param isStrict whether all replicas of the record must have stored it
	 * @return completes when the entry is durable; fails with {@link HomeLostException}
	 * if the partition is lost before that
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
	 * Returns whether the reachable replicas have stored all entries. A new owner waits
	 * for this before it serves the partition. If no replica is reachable, the owner
	 * serves what it has read, but can't acknowledge new entries until a replica is
	 * replaced.
	 * @return {@code true} also if no replica is reachable
	 */
	boolean isSynced() {
		return this.requiredReplicas.stream()
			.map(this::openLink)
			.allMatch((link) -> link.isSynced() || !link.isReachable());
	}

	/**
	 * Returns whether all replicas are reachable and have stored all entries, so that a
	 * successor can recover the log without this owner.
	 * @return {@code false} also if there is no replica
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
	 * Resends entries that are not acknowledged and completes appends that are durable.
	 */
	void tick() {
		sendPending();
		completeDurableAppends();
	}

	/**
	 * Fails all pending appends and rejects later ones, because another instance owns the
	 * partition or may own it soon.
	 * @param reason cause, for the event log; only the first one is kept
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
