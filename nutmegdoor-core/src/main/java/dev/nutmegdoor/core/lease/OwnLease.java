package dev.nutmegdoor.core.lease;

import java.util.ArrayList;
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
import dev.nutmegdoor.core.time.TimerService;

/**
 * Maintains this instance's lease: sends heartbeats to the witnesses, records holdings
 * and determines until when the lease is valid.
 */
final class OwnLease {

	/** Time after which a record fails that neither witnesses nor store confirmed. */
	private static final long RECORD_TIMEOUT_MS = 3000;

	/** Wait for the witnesses before the holdings are written to the store as well. */
	private static final long STORE_FALLBACK_MS = 200;

	private static final int UNRESPONSIVE_BEATS = 3;

	private final TimerService timer;

	private final PeerTransport transport;

	private final EventLog eventLog;

	private final LeaseSettings settings;

	private final WitnessAcknowledgements acknowledgements = new WitnessAcknowledgements();

	private final VersionedHoldings holdings = new VersionedHoldings();

	private final List<LeaseListener> listeners = new ArrayList<>();

	private final List<PendingRecord> pendingRecords = new ArrayList<>();

	private final LeaseRenewal renewal;

	private LeaseState announcedState = LeaseState.NONE;

	private boolean ended;

	private long storeWriteSentMs = Long.MIN_VALUE;

	private long storedHoldingsVersion;

	private boolean beatScheduled;

	OwnLease(TimerService timer, PeerTransport transport, LeaseRecords records, WitnessSelector selector,
			UniformRandomProvider random, StepListener steps, EventLog eventLog, LeaseSettings settings) {
		this.timer = timer;
		this.transport = transport;
		this.eventLog = eventLog;
		this.settings = settings;
		this.renewal = new LeaseRenewal(this, timer, records, selector, random, () -> steps.reached(Step.LEASE_RENEW),
				settings);
	}

	void start() {
		this.renewal.start();
	}

	void tick() {
		beat();
		announce();
	}

	boolean isValid() {
		return !this.ended && this.timer.nowMs() < validUntilMs();
	}

	long validUntilMs() {
		long sentMs = Math.max(this.storeWriteSentMs,
				(epoch() > 0) ? this.acknowledgements.quorumSentMs() : Long.MIN_VALUE);
		return (sentMs == Long.MIN_VALUE) ? Long.MIN_VALUE
				: (sentMs + this.settings.ttlMs() - this.settings.marginMs());
	}

	long epoch() {
		return this.renewal.epoch();
	}

	LeaseState state() {
		if (this.ended) {
			return LeaseState.FENCED;
		}
		if (epoch() == 0) {
			return LeaseState.NONE;
		}
		return isValid() ? LeaseState.VALID : LeaseState.EXPIRED;
	}

	void subscribe(LeaseListener listener) {
		this.listeners.add(listener);
	}

	VersionedHoldings holdings() {
		return this.holdings;
	}

	WitnessAcknowledgements acknowledgements() {
		return this.acknowledgements;
	}

	List<InstanceId> witnesses() {
		return List.copyOf(this.acknowledgements.witnesses());
	}

	CompletableFuture<Boolean> record(Map<String, Long> changes) {
		if (this.ended) {
			return CompletableFuture.completedFuture(false);
		}
		PendingRecord record = new PendingRecord(this.holdings.set(changes), new CompletableFuture<>());
		this.pendingRecords.add(record);
		scheduleEarlyBeat();
		this.timer.schedule(STORE_FALLBACK_MS, () -> {
			if (!record.result.isDone()) {
				this.renewal.renewNow();
			}
		});
		this.timer.schedule(RECORD_TIMEOUT_MS, () -> {
			if (this.pendingRecords.remove(record)) {
				record.result.complete(false);
			}
		});
		return record.result;
	}

	CompletableFuture<Boolean> release() {
		return this.renewal.release();
	}

	/**
	 * Records a successful write of the lease record to the store.
	 * @param sentMs time at which the write was sent, in milliseconds since the epoch
	 * @param holdingsVersion version of the holdings in the record
	 */
	void recordStoreWrite(long sentMs, long holdingsVersion) {
		this.storeWriteSentMs = Math.max(this.storeWriteSentMs, sentMs);
		this.storedHoldingsVersion = Math.max(this.storedHoldingsVersion, holdingsVersion);
		completeDurableRecords();
		announce();
	}

	void end(String reason) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.eventLog.record("lease.ended", "epoch", epoch(), "reason", reason);
		List<PendingRecord> failedRecords = List.copyOf(this.pendingRecords);
		this.pendingRecords.clear();
		failedRecords.forEach((record) -> record.result.complete(false));
		announce();
	}

	private void beat() {
		if (this.ended || epoch() == 0) {
			return;
		}
		long sentMs = this.timer.nowMs();
		Map<Long, Map<String, Long>> changesBySinceVersion = new TreeMap<>();
		for (InstanceId witness : this.acknowledgements.witnesses()) {
			boolean isUnresponsive = sentMs - this.acknowledgements.sentMsOf(witness) > UNRESPONSIVE_BEATS
					* this.settings.beatMs();
			// A witness that may be down receives the changes only after it has replied.
			long sinceVersion = isUnresponsive ? this.holdings.version()
					: this.holdings.sinceVersionFor(this.acknowledgements.versionOf(witness));
			Map<String, Long> changes = changesBySinceVersion.computeIfAbsent(sinceVersion,
					this.holdings::changesSince);
			LeaseBeat beat = new LeaseBeat(epoch(), sinceVersion, this.holdings.version(), changes);
			this.transport.request(witness, beat, LeaseBeatAnswer.class, this.settings.requestTimeoutMs())
				.whenComplete((answer, error) -> receiveAnswer(witness, sentMs, beat.version(), answer, error));
		}
	}

	private void scheduleEarlyBeat() {
		if (!this.beatScheduled) {
			this.beatScheduled = true;
			this.timer.schedule(0, () -> {
				this.beatScheduled = false;
				beat();
			});
		}
	}

	private void receiveAnswer(InstanceId witness, long sentMs, long sentVersion, @Nullable LeaseBeatAnswer answer,
			@Nullable Throwable error) {
		if (error != null || answer == null || this.ended) {
			return;
		}
		if (answer.isAccepted()) {
			this.acknowledgements.acknowledged(witness, sentMs, answer.version());
			completeDurableRecords();
			if (!this.pendingRecords.isEmpty() && answer.version() < sentVersion) {
				scheduleEarlyBeat();
			}
			announce();
		}
		else {
			this.acknowledgements.rejected(witness);
			this.renewal.renewNow();
		}
	}

	private void completeDurableRecords() {
		if (this.pendingRecords.isEmpty()) {
			return;
		}
		long durableVersion = Math.max(this.storedHoldingsVersion, this.acknowledgements.quorumVersion());
		List<PendingRecord> durableRecords = new ArrayList<>();
		this.pendingRecords.removeIf((record) -> {
			boolean isDurable = record.version <= durableVersion;
			if (isDurable) {
				durableRecords.add(record);
			}
			return isDurable;
		});
		durableRecords.forEach((record) -> record.result.complete(true));
	}

	void announce() {
		LeaseState state = state();
		if (state != this.announcedState) {
			this.announcedState = state;
			this.eventLog.record("lease.changed", "state", state, "epoch", epoch());
			for (LeaseListener listener : List.copyOf(this.listeners)) {
				listener.changed(state);
			}
		}
	}

	private record PendingRecord(long version, CompletableFuture<Boolean> result) {

	}

}
