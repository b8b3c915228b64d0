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

	private final List<Waiter> waiters = new ArrayList<>();

	private Set<InstanceId> required = new TreeSet<>();

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

	@Nullable ReplicaLink link(InstanceId replica) {
		return this.links.get(replica);
	}

	void adopt(LogChain chain) {
		this.chains.put(chain.program(), chain);
	}

	/**
	 * Starts to send everything to an instance.
	 * @param replica the instance
	 * @return the link
	 */
	ReplicaLink join(InstanceId replica) {
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
	void setRequired(Set<InstanceId> replicas) {
		this.required = new TreeSet<>(replicas);
		this.required.forEach(this::join);
		flush();
		settle();
	}

	void leave(InstanceId replica) {
		if (!this.required.contains(replica)) {
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
	CompletableFuture<LogEntry> acknowledged(LogEntry entry, boolean isStrict) {
		if (this.lostReason != null) {
			return CompletableFuture.failedFuture(new HomeLostException(this.lostReason));
		}
		this.dependencies.steps().reached(Step.APPEND);
		Waiter waiter = new Waiter(entry, isStrict);
		this.waiters.add(waiter);
		flush();
		settle();
		return waiter.done;
	}

	/**
	 * Returns whether the reachable replicas hold all entries, which a new owner awaits
	 * before it serves. If none is reachable the owner serves what it has read; it can
	 * acknowledge nothing new until a replica is replaced.
	 * @return whether they do
	 */
	boolean isSynced() {
		return this.required.stream().map(this::join).allMatch((link) -> link.isSynced() || !link.isReachable());
	}

	/**
	 * Returns whether all replicas hold all entries, so that the owner itself is not
	 * needed.
	 * @return whether they do and there is at least one
	 */
	boolean isFullyReplicated() {
		return !this.required.isEmpty()
				&& this.required.stream().map(this::join).allMatch((link) -> link.isSynced() && link.isReachable());
	}

	void remove(ProgramId program) {
		this.chains.remove(program);
		this.links.values().forEach((link) -> link.remove(program));
	}

	/**
	 * Sends again what is not acknowledged and completes waiting appends.
	 */
	void tick() {
		flush();
		settle();
	}

	/**
	 * Ends the log: another instance owns the partition.
	 * @param reason why
	 */
	void lose(String reason) {
		if (this.lostReason != null) {
			return;
		}
		this.lostReason = reason;
		List<Waiter> open = new ArrayList<>(this.waiters);
		this.waiters.clear();
		open.forEach((waiter) -> waiter.done.completeExceptionally(new HomeLostException(reason)));
	}

	private void flush() {
		if (this.lostReason != null) {
			return;
		}
		for (ReplicaLink link : new ArrayList<>(this.links.values())) {
			if (link.isIdle()) {
				send(link);
			}
		}
	}

	private void send(ReplicaLink link) {
		int limit = this.dependencies.settings().batchEntries();
		List<LogEntry> batch = link.nextBatch(this.chains, limit);
		List<ProgramId> removed = link.removedPrograms();
		boolean isSole = this.required.stream()
			.filter((id) -> !id.equals(link.replica()))
			.noneMatch((id) -> join(id).isReachable());
		boolean isGreeting = !link.isHandshakeComplete();
		AppendRequest request = new AppendRequest(this.partition, this.epoch, batch, isSole, isGreeting, removed);
		link.sent();
		this.dependencies.transport()
			.request(link.replica(), request, AppendAnswer.class, this.dependencies.settings().appendTimeoutMs())
			.whenComplete((answer, error) -> {
				if (this.lostReason != null) {
					return;
				}
				if (error != null) {
					link.failed(this.dependencies.timer().nowMs());
				}
				else if (!answer.isAccepted()) {
					lose("replica " + link.replica() + " knows epoch " + answer.epoch());
					return;
				}
				else {
					link.answered(answer, removed, this.chains);
					if (isGreeting) {
						link.completeHandshake();
					}
				}
				settle();
				if (error == null) {
					flush();
				}
			});
	}

	private void settle() {
		if (this.waiters.isEmpty() || !this.dependencies.lease().isValid()) {
			return;
		}
		List<Waiter> done = this.waiters.stream().filter(this::isDurable).toList();
		this.waiters.removeAll(done);
		for (Waiter waiter : done) {
			if (!isHeldByAll(waiter.entry)) {
				this.degradedAppends++;
			}
			this.dependencies.events()
				.record("log.acknowledged", "program", waiter.entry.program(), "sequence", waiter.entry.sequence(),
						"hash", waiter.entry.hash(), "epoch", this.epoch);
			this.dependencies.steps().reached(Step.APPEND_DONE);
			waiter.done.complete(waiter.entry);
		}
	}

	private boolean isHeldByAll(LogEntry entry) {
		return this.required.size() >= this.dependencies.settings().intentCopies()
				&& this.required.stream().allMatch((id) -> isHeld(id, entry));
	}

	private boolean isHeld(InstanceId replica, LogEntry entry) {
		return join(replica).acknowledged(entry.program()) >= entry.sequence();
	}

	private boolean isDurable(Waiter waiter) {
		if (waiter.isStrict) {
			return isHeldByAll(waiter.entry);
		}
		boolean isAnyHeld = this.required.isEmpty();
		for (InstanceId replica : this.required) {
			boolean isHeld = isHeld(replica, waiter.entry);
			if (!isHeld && join(replica).isReachable()) {
				return false;
			}
			isAnyHeld |= isHeld;
		}
		return isAnyHeld;
	}

	private static final class Waiter {

		private final LogEntry entry;

		private final boolean isStrict;

		private final CompletableFuture<LogEntry> done = new CompletableFuture<>();

		private Waiter(LogEntry entry, boolean isStrict) {
			this.entry = entry;
			this.isStrict = isStrict;
		}

	}

}
