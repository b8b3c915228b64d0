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
 * Ends leases of other instances. Each call is one attempt; what it observed is kept for
 * the next one.
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

	private final Map<InstanceId, Long> witnessFencedMs = new HashMap<>();

	private final Map<InstanceId, CompletableFuture<Boolean>> attempts = new TreeMap<>();

	private final List<TakeoverListener> heirs = new ArrayList<>();

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

	void subscribeAdoption(TakeoverListener listener) {
		this.heirs.add(listener);
	}

	List<InstanceId> attempts() {
		return List.copyOf(this.attempts.keySet());
	}

	CompletableFuture<Boolean> fence(InstanceId holder) {
		CompletableFuture<Boolean> running = this.attempts.get(holder);
		if (running != null) {
			return running;
		}
		CompletableFuture<Boolean> attempt = new CompletableFuture<>();
		this.attempts.put(holder, attempt);
		this.records.get(holder).thenCompose((stored) -> decide(holder, stored)).whenComplete((isFenced, error) -> {
			this.attempts.remove(holder);
			if (error != null) {
				// Every holder has created its record, so a missing one was deleted after
				// its lease had ended.
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

	private CompletableFuture<Boolean> decide(InstanceId holder, StoredLease stored) {
		LeaseRecord record = stored.record();
		if (record.state() == LeaseRecordState.FENCED) {
			if (this.self.equals(record.heir())) {
				adopt(record);
			}
			return CompletableFuture.completedFuture(true);
		}
		if (record.state() == LeaseRecordState.RELEASED) {
			return write(stored, record.holdingsVersion(), record.holdings(), true);
		}
		long nowMs = this.timer.nowMs();
		Observation observation = this.observations.get(holder);
		if (observation == null || observation.version != stored.version()) {
			this.observations.put(holder, new Observation(stored.version(), nowMs));
			return CompletableFuture.completedFuture(false);
		}
		if (nowMs - observation.sinceMs <= patienceMs()) {
			return CompletableFuture.completedFuture(false);
		}
		return queryWitnesses(stored);
	}

	private long patienceMs() {
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
				votes.add(ask(witness, request));
			}
		}
		return CompletableFuture.allOf(votes.toArray(new CompletableFuture<?>[0])).thenCompose((ignored) -> {
			int concurrences = 0;
			int answers = 0;
			long version = record.holdingsVersion();
			Map<String, Long> holdings = record.holdings();
			for (CompletableFuture<Vote> future : votes) {
				Vote vote = future.join();
				if (!vote.answer.isConcurring()) {
					continue;
				}
				concurrences++;
				answers += vote.isOwnAnswer ? 1 : 0;
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
			return write(stored, version, holdings, answers >= needed);
		});
	}

	private CompletableFuture<Vote> ask(InstanceId witness, ConcurrenceRequest request) {
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

	// Returns whether a witness was fenced long enough ago that its last acknowledgement
	// no longer extends any lease.
	private CompletableFuture<Boolean> isFencedPastLeaseTerm(InstanceId witness) {
		return this.records.get(witness).handle((stored, error) -> {
			if (error != null || stored.record().state() == LeaseRecordState.HELD) {
				return false;
			}
			long nowMs = this.timer.nowMs();
			long sinceMs = this.witnessFencedMs.computeIfAbsent(witness, (id) -> nowMs);
			return nowMs - sinceMs > patienceMs();
		});
	}

	private CompletableFuture<Boolean> write(StoredLease stored, long version, Map<String, Long> holdings,
			boolean isComplete) {
		this.steps.reached(Step.LEASE_FENCE);
		LeaseRecord old = stored.record();
		String changeId = this.self.value() + "-fence-" + Long.toHexString(this.random.nextLong());
		LeaseRecord fenced = new LeaseRecord(old.holder(), old.epoch() + 1, LeaseRecordState.FENCED, old.witnesses(),
				old.sequence(), changeId, version, holdings, this.self, isComplete);
		return this.records.update(fenced, stored.version()).handle((newVersion, error) -> {
			if (error != null) {
				// The next attempt reads the record, which names the winner.
				return false;
			}
			this.eventLog.record("lease.fenced", "holder", old.holder(), "epoch", fenced.epoch(), "complete",
					isComplete);
			adopt(fenced);
			takeOverFromFencedSuccessor(old.holder());
			return true;
		});
	}

	// Takes over what the fenced instance had fenced itself without recording the
	// adoption.
	private void takeOverFromFencedSuccessor(InstanceId holder) {
		this.records.list().whenComplete((leases, error) -> {
			if (error != null) {
				this.timer.schedule(this.settings.renewMs(), () -> takeOverFromFencedSuccessor(holder));
				return;
			}
			for (StoredLease lease : leases) {
				LeaseRecord record = lease.record();
				if (record.state() == LeaseRecordState.FENCED && holder.equals(record.heir())) {
					takeOver(holder, lease);
				}
			}
		});
	}

	private void takeOver(InstanceId formerHeir, StoredLease lease) {
		this.records.get(formerHeir).whenComplete((heirLease, error) -> {
			boolean isAdopted = error == null
					&& heirLease.record().holdings().containsKey(LeaseHoldings.takeoverKey(lease.record().holder()));
			boolean isKnown = error == null && heirLease.record().isComplete();
			if (!isKnown || isAdopted) {
				return;
			}
			LeaseRecord old = lease.record();
			LeaseRecord moved = new LeaseRecord(old.holder(), old.epoch() + 1, old.state(), old.witnesses(),
					old.sequence(), old.changeId() + "+", old.holdingsVersion(), old.holdings(), this.self,
					old.isComplete());
			this.records.update(moved, lease.version()).whenComplete((version, failure) -> {
				if (failure == null) {
					adopt(moved);
				}
				else {
					this.timer.schedule(this.settings.renewMs(), () -> fence(old.holder()));
				}
			});
		});
	}

	private void adopt(LeaseRecord record) {
		if (!record.isComplete()) {
			this.eventLog.record("lease.holdings_unknown", "holder", record.holder());
			return;
		}
		this.heirs.forEach((heir) -> heir.adopt(record.holder(), record.holdings()));
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
