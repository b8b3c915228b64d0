package dev.nutmegdoor.core.lease;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.store.StoreException;
import dev.nutmegdoor.core.store.StoreFailure;
import dev.nutmegdoor.core.time.Subscription;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Writes this instance's lease record: creates it, renews it at jittered intervals, backs
 * off while the store fails, and reads the record back when the outcome of a write is
 * unknown.
 */
final class LeaseRenewal {

	private final OwnLease lease;

	private final TimerService timer;

	private final LeaseRecords records;

	private final WitnessSelector selector;

	private final UniformRandomProvider random;

	private final Runnable writeStep;

	private final LeaseSettings settings;

	private final String changePrefix;

	private final InstanceId self;

	private Subscription nextWrite = () -> {
	};

	private @Nullable CompletableFuture<Boolean> releaseResult;

	private boolean writing;

	private boolean rewriteRequested;

	private boolean readBackRequired;

	private List<InstanceId> witnesses = List.of();

	private long epoch;

	private long storeVersion;

	private long sequence;

	private long backOffMs;

	private @Nullable LeaseRecord sentRecord;

	private long sentMs;

	LeaseRenewal(OwnLease lease, TimerService timer, LeaseRecords records, WitnessSelector selector,
			UniformRandomProvider random, Runnable writeStep, LeaseSettings settings) {
		this.lease = lease;
		this.timer = timer;
		this.records = records;
		this.selector = selector;
		this.random = random;
		this.writeStep = writeStep;
		this.settings = settings;
		this.self = selector.self();
		this.changePrefix = this.self.value() + "-" + Long.toHexString(random.nextLong()) + "-";
	}

	long epoch() {
		return this.epoch;
	}

	void start() {
		write();
	}

	/**
	 * Writes the record as soon as no other write is in progress. While the store fails,
	 * the write waits for the end of the current back-off.
	 */
	void renewNow() {
		if (this.writing) {
			this.rewriteRequested = true;
		}
		else if (this.backOffMs == 0) {
			write();
		}
	}

	CompletableFuture<Boolean> release() {
		CompletableFuture<Boolean> result = new CompletableFuture<>();
		this.releaseResult = result;
		renewNow();
		return result;
	}

	private void write() {
		this.nextWrite.cancel();
		if (this.writing || this.lease.state() == LeaseState.FENCED) {
			return;
		}
		this.writing = true;
		this.rewriteRequested = false;
		if (this.readBackRequired) {
			readBack();
			return;
		}
		this.writeStep.run();
		List<InstanceId> selectedWitnesses = this.selector.select(this.witnesses);
		this.lease.acknowledgements().propose(selectedWitnesses);
		VersionedHoldings holdings = this.lease.holdings();
		LeaseRecordState state = (this.releaseResult != null) ? LeaseRecordState.RELEASED : LeaseRecordState.HELD;
		LeaseRecord record = new LeaseRecord(this.self, Math.max(1, this.epoch), state, selectedWitnesses,
				++this.sequence, this.changePrefix + this.sequence, holdings.version(), holdings.snapshot(), null,
				true);
		this.sentRecord = record;
		this.sentMs = this.timer.nowMs();
		CompletableFuture<Long> outcome = (this.epoch == 0) ? this.records.create(record)
				: this.records.update(record, this.storeVersion);
		outcome.whenComplete((newVersion, error) -> {
			if (error == null) {
				handleSuccess(record, newVersion);
			}
			else {
				handleFailure(error);
			}
		});
	}

	private void handleSuccess(LeaseRecord record, long newVersion) {
		this.writing = false;
		this.readBackRequired = false;
		this.backOffMs = 0;
		this.storeVersion = newVersion;
		this.epoch = record.epoch();
		this.witnesses = record.witnesses();
		this.lease.acknowledgements().confirm(record.witnesses());
		CompletableFuture<Boolean> release = this.releaseResult;
		if (record.state() == LeaseRecordState.RELEASED) {
			this.lease.end("released");
			if (release != null) {
				release.complete(true);
			}
			return;
		}
		this.lease.recordStoreWrite(this.sentMs, record.holdingsVersion());
		if (this.rewriteRequested || release != null) {
			write();
		}
		else {
			scheduleWrite(this.settings.renewMs());
		}
	}

	private void handleFailure(Throwable error) {
		this.writing = false;
		StoreFailure failure = failureOf(error);
		if (failure == StoreFailure.NOT_FOUND) {
			this.readBackRequired = false;
			if (this.epoch > 0) {
				this.lease.end("record deleted");
				return;
			}
		}
		else if (failure != StoreFailure.UNAVAILABLE && failure != StoreFailure.RATE_LIMITED) {
			// After a conflict or a lost response, only the record itself shows whether
			// the write took effect.
			this.readBackRequired = true;
		}
		this.backOffMs = Math.min(this.settings.maxBackOffMs(),
				Math.max(this.settings.renewMs() / 4, 2 * this.backOffMs));
		scheduleWrite(this.backOffMs);
	}

	private void readBack() {
		this.records.get(this.self).whenComplete((stored, error) -> {
			if (error != null) {
				handleFailure(error);
				return;
			}
			LeaseRecord record = stored.record();
			LeaseRecord lastSent = this.sentRecord;
			if (lastSent != null && record.changeId().equals(lastSent.changeId())) {
				handleSuccess(record, stored.version());
			}
			else if (record.state() == LeaseRecordState.HELD && record.changeId().startsWith(this.changePrefix)) {
				// The write had not taken effect; a new write at the current version
				// makes sure that it never does.
				this.storeVersion = stored.version();
				this.epoch = record.epoch();
				this.readBackRequired = false;
				this.writing = false;
				write();
			}
			else {
				this.writing = false;
				this.lease.end("fenced at epoch " + record.epoch());
			}
		});
	}

	// Schedules the next write with a jitter of plus or minus half the delay, so that the
	// instances do not all call the store at the same time after an outage.
	private void scheduleWrite(long delayMs) {
		this.nextWrite.cancel();
		this.nextWrite = this.timer.schedule(delayMs / 2 + this.random.nextLong(delayMs + 1), this::write);
	}

	static StoreFailure failureOf(Throwable error) {
		Throwable cause = (error instanceof CompletionException && error.getCause() != null) ? error.getCause() : error;
		return (cause instanceof StoreException ex) ? ex.failure() : StoreFailure.OUTCOME_UNKNOWN;
	}

}
