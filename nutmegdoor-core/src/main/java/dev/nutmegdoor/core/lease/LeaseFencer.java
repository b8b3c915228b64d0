package dev.nutmegdoor.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.store.StoreFailure;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Fences the leases of other instances. Each call makes one attempt, which compares the
 * record in the store with the observation of the previous attempt.
 */
final class LeaseFencer {

	private final InstanceId self;

	private final TimerService timer;

	private final PeerTransport transport;

	private final LeaseRecords records;

	private final WitnessRegister register;

	private final UniformRandomProvider random;

	private final StepListener steps;

	private final EventLog eventLog;

	private final LeaseSettings settings;

	private final Map<InstanceId, Observation> observations = new HashMap<>();

	private final Map<InstanceId, Long> witnessFencedSinceMs = new HashMap<>();

	private final Map<InstanceId, CompletableFuture<Boolean>> attempts = new TreeMap<>();

	private final List<TakeoverListener> takeoverListeners = new ArrayList<>();

	LeaseFencer(InstanceId self, TimerService timer, PeerTransport transport, LeaseRecords records,
			WitnessRegister register, UniformRandomProvider random, StepListener steps, EventLog eventLog,
			LeaseSettings settings) {
		this.self = self;
		this.timer = timer;
		this.transport = transport;
		this.records = records;
		this.register = register;
		this.random = random;
		this.steps = steps;
		this.eventLog = eventLog;
		this.settings = settings;
	}

	void subscribeTakeover(TakeoverListener listener) {
		this.takeoverListeners.add(listener);
	}

	List<InstanceId> attempts() {
		return List.copyOf(this.attempts.keySet());
	}

	CompletableFuture<Boolean> fence(InstanceId holder) {
		CompletableFuture<Boolean> inProgress = this.attempts.get(holder);
		if (inProgress != null) {
			return inProgress;
		}
		CompletableFuture<Boolean> attempt = new CompletableFuture<>();
		this.attempts.put(holder, attempt);
		this.records.get(holder)
			.thenCompose((stored) -> fenceIfExpired(holder, stored))
			.whenComplete((isFenced, error) -> {
				this.attempts.remove(holder);
				if (error != null) {
					// Every holder creates its record first, so a missing record was
					// deleted after its lease had ended.
					attempt.complete(LeaseRenewal.failureOf(error) == StoreFailure.NOT_FOUND);
					return;
				}
				if (isFenced) {
					this.observations.remove(holder);
				}
				attempt.complete(isFenced);
			});
		return attempt;
	}

	private CompletableFuture<Boolean> fenceIfExpired(InstanceId holder, StoredLease stored) {
		LeaseRecord record = stored.record();
		if (record.state() == LeaseRecordState.FENCED) {
			if (this.self.equals(record.heir())) {
				notifyListeners(record);
			}
			return CompletableFuture.completedFuture(true);
		}
		if (record.state() == LeaseRecordState.RELEASED) {
			return writeFencedRecord(stored, record.holdingsVersion(), record.holdings(), true);
		}
		long nowMs = this.timer.nowMs();
		Observation observation = this.observations.get(holder);
		if (observation == null || observation.version != stored.version()) {
			this.observations.put(holder, new Observation(stored.version(), nowMs));
			return CompletableFuture.completedFuture(false);
		}
		if (nowMs - observation.sinceMs <= fencingTimeoutMs()) {
			return CompletableFuture.completedFuture(false);
		}
		return queryWitnesses(stored);
	}

	private long fencingTimeoutMs() {
		return this.settings.ttlMs() + this.settings.marginMs();
	}

	private CompletableFuture<Boolean> queryWitnesses(StoredLease stored) {
		LeaseRecord record = stored.record();
		ConcurrenceRequest request = new ConcurrenceRequest(record.holder(), record.epoch());
		List<CompletableFuture<Vote>> votes = new ArrayList<>();
		for (InstanceId witness : record.witnesses()) {
			if (witness.equals(this.self)) {
				votes.add(CompletableFuture
					.completedFuture(new Vote(true, this.register.concur(request, this.timer.nowMs()))));
			}
			else {
				votes.add(queryWitness(witness, request));
			}
		}
		return CompletableFuture.allOf(votes.toArray(new CompletableFuture<?>[0])).thenCompose((ignored) -> {
			int concurrences = 0;
			int ownAnswers = 0;
			long version = record.holdingsVersion();
			Map<String, Long> holdings = record.holdings();
			for (CompletableFuture<Vote> future : votes) {
				Vote vote = future.join();
				if (!vote.answer.isConcurring()) {
					continue;
				}
				concurrences++;
				ownAnswers += vote.isOwnAnswer ? 1 : 0;
				if (vote.answer.version() > version) {
					version = vote.answer.version();
					holdings = vote.answer.holdings();
				}
			}
			int needed = WitnessQuorum.concurrences(record.witnesses().size());
			if (concurrences < needed) {
				this.eventLog.record("lease.fence_refused", "holder", record.holder(), "concurrences", concurrences,
						"needed", needed);
				return CompletableFuture.completedFuture(false);
			}
			return writeFencedRecord(stored, version, holdings, ownAnswers >= needed);
		});
	}

	private CompletableFuture<Vote> queryWitness(InstanceId witness, ConcurrenceRequest request) {
		CompletableFuture<Vote> result = new CompletableFuture<>();
		this.transport.request(witness, request, ConcurrenceAnswer.class, this.settings.requestTimeoutMs())
			.whenComplete((answer, error) -> {
				if (error == null) {
					result.complete(new Vote(true, answer));
				}
				else {
					isFencedPastLeaseTerm(witness).thenAccept((isFenced) -> result
						.complete(new Vote(false, new ConcurrenceAnswer(isFenced, -1, Map.of()))));
				}
			});
		return result;
	}

	// Returns whether the witness itself was released or fenced so long ago that none of
	// its acknowledgements can still extend a lease.
	private CompletableFuture<Boolean> isFencedPastLeaseTerm(InstanceId witness) {
		return this.records.get(witness).handle((stored, error) -> {
			if (error != null || stored.record().state() == LeaseRecordState.HELD) {
				return false;
			}
			long nowMs = this.timer.nowMs();
			long sinceMs = this.witnessFencedSinceMs.computeIfAbsent(witness, (id) -> nowMs);
			return nowMs - sinceMs > fencingTimeoutMs();
		});
	}

	private CompletableFuture<Boolean> writeFencedRecord(StoredLease stored, long version, Map<String, Long> holdings,
			boolean isComplete) {
		this.steps.reached(Step.LEASE_FENCE);
		LeaseRecord previous = stored.record();
		String changeId = this.self.value() + "-fence-" + Long.toHexString(this.random.nextLong());
		LeaseRecord fenced = new LeaseRecord(previous.holder(), previous.epoch() + 1, LeaseRecordState.FENCED,
				previous.witnesses(), previous.sequence(), changeId, version, holdings, this.self, isComplete);
		return this.records.update(fenced, stored.version()).handle((newVersion, error) -> {
			if (error != null) {
				// The next attempt reads the record and thereby the successor.
				return false;
			}
			this.eventLog.record("lease.fenced", "holder", previous.holder(), "epoch", fenced.epoch(), "complete",
					isComplete);
			notifyListeners(fenced);
			takeOverFromFencedSuccessor(previous.holder());
			return true;
		});
	}

	// Takes over the holdings of instances that the fenced instance had fenced, unless it
	// recorded that takeover.
	private void takeOverFromFencedSuccessor(InstanceId holder) {
		this.records.list().whenComplete((leases, error) -> {
			if (error != null) {
				this.timer.schedule(this.settings.renewMs(), () -> takeOverFromFencedSuccessor(holder));
				return;
			}
			for (StoredLease lease : leases) {
				LeaseRecord record = lease.record();
				if (record.state() == LeaseRecordState.FENCED && holder.equals(record.heir())) {
					takeOverFromPredecessor(holder, lease);
				}
			}
		});
	}

	private void takeOverFromPredecessor(InstanceId predecessor, StoredLease lease) {
		this.records.get(predecessor).whenComplete((predecessorLease, error) -> {
			boolean isTakenOver = error == null && predecessorLease.record()
				.holdings()
				.containsKey(LeaseHoldings.takeoverKey(lease.record().holder()));
			boolean hasKnownHoldings = error == null && predecessorLease.record().isComplete();
			if (!hasKnownHoldings || isTakenOver) {
				return;
			}
			LeaseRecord previous = lease.record();
			LeaseRecord reassigned = new LeaseRecord(previous.holder(), previous.epoch() + 1, previous.state(),
					previous.witnesses(), previous.sequence(), previous.changeId() + "+", previous.holdingsVersion(),
					previous.holdings(), this.self, previous.isComplete());
			this.records.update(reassigned, lease.version()).whenComplete((version, failure) -> {
				if (failure == null) {
					notifyListeners(reassigned);
				}
				else {
					this.timer.schedule(this.settings.renewMs(), () -> fence(previous.holder()));
				}
			});
		});
	}

	private void notifyListeners(LeaseRecord record) {
		if (!record.isComplete()) {
			this.eventLog.record("lease.holdings_unknown", "holder", record.holder());
			return;
		}
		this.takeoverListeners.forEach((listener) -> listener.takeOver(record.holder(), record.holdings()));
	}

	CompletableFuture<@Nullable Map<String, Long>> finalHoldings(InstanceId holder) {
		return this.records.get(holder).handle((stored, error) -> {
			boolean isFinal = error == null && stored.record().state() == LeaseRecordState.FENCED
					&& stored.record().isComplete();
			return isFinal ? stored.record().holdings() : null;
		});
	}

	private record Observation(long version, long sinceMs) {

	}

	private record Vote(boolean isOwnAnswer, ConcurrenceAnswer answer) {

	}

}
