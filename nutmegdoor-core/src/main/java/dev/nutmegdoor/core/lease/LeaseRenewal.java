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
 * Writes the own lease record: creates it, renews it at jittered times, backs off while
 * the store fails, and reads it back when the outcome of a write is unknown.
 */
final class LeaseRenewal {

	private final OwnLease lease;

	private final TimerService timer;

	private final LeaseRecords records;

	private final WitnessSelector selector;

	private final UniformRandomProvider random;

	private final Runnable step;

	private final LeaseSettings settings;

	private final String changePrefix;

	private final InstanceId self;

	private Subscription next = () -> {
	};

	private @Nullable CompletableFuture<Boolean> releasing;

	private boolean writing;

	private boolean urgent;

	private boolean reading;

	private List<InstanceId> witnesses = List.of();

	private long epoch;

	private long version;

	private long sequence;

	private long backOffMs;

	private @Nullable LeaseRecord sentRecord;

	private long sentMs;

	LeaseRenewal(OwnLease lease, TimerService timer, LeaseRecords records, WitnessSelector selector,
			UniformRandomProvider random, Runnable step, LeaseSettings settings) {
		this.lease = lease;
		this.timer = timer;
		this.records = records;
		this.selector = selector;
		this.random = random;
		this.step = step;
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
	 * Writes the record as soon as no other write is in progress, unless the store is
	 * failing, in which case the back-off stands.
	 */
	void renewNow() {
		if (this.writing) {
			this.urgent = true;
		}
		else if (this.backOffMs == 0) {
			write();
		}
	}

	CompletableFuture<Boolean> release() {
		CompletableFuture<Boolean> result = new CompletableFuture<>();
		this.releasing = result;
		renewNow();
		return result;
	}

	private void write() {
		this.next.cancel();
		if (this.writing || this.lease.state() == LeaseState.FENCED) {
			return;
		}
		this.writing = true;
		this.urgent = false;
		if (this.reading) {
			readBack();
			return;
		}
		this.step.run();
		List<InstanceId> chosen = this.selector.select(this.witnesses);
		this.lease.acknowledgements().propose(chosen);
		VersionedHoldings holdings = this.lease.holdings();
		LeaseRecordState state = (this.releasing != null) ? LeaseRecordState.RELEASED : LeaseRecordState.HELD;
		LeaseRecord record = new LeaseRecord(this.self, Math.max(1, this.epoch), state, chosen, ++this.sequence,
				this.changePrefix + this.sequence, holdings.version(), holdings.snapshot(), null, true);
		this.sentRecord = record;
		this.sentMs = this.timer.nowMs();
		CompletableFuture<Long> outcome = (this.epoch == 0) ? this.records.create(record)
				: this.records.update(record, this.version);
		outcome.whenComplete((newVersion, error) -> {
			if (error == null) {
				succeed(record, newVersion);
			}
			else {
				fail(error);
			}
		});
	}

	private void succeed(LeaseRecord record, long newVersion) {
		this.writing = false;
		this.reading = false;
		this.backOffMs = 0;
		this.version = newVersion;
		this.epoch = record.epoch();
		this.witnesses = record.witnesses();
		this.lease.acknowledgements().confirm(record.witnesses());
		CompletableFuture<Boolean> waiting = this.releasing;
		if (record.state() == LeaseRecordState.RELEASED) {
			this.lease.end("released");
			if (waiting != null) {
				waiting.complete(true);
			}
			return;
		}
		this.lease.stored(this.sentMs, record.holdingsVersion());
		if (this.urgent || waiting != null) {
			write();
		}
		else {
			scheduleNext(this.settings.renewMs());
		}
	}

	private void fail(Throwable error) {
		this.writing = false;
		StoreFailure failure = failureOf(error);
		if (failure == StoreFailure.NOT_FOUND) {
			this.reading = false;
			if (this.epoch > 0) {
				this.lease.end("record deleted");
				return;
			}
		}
		else if (failure != StoreFailure.UNAVAILABLE && failure != StoreFailure.RATE_LIMITED) {
			// After a conflict or a lost answer only the record itself tells what
			// happened.
			this.reading = true;
		}
		this.backOffMs = Math.min(this.settings.maxBackOffMs(),
				Math.max(this.settings.renewMs() / 4, 2 * this.backOffMs));
		scheduleNext(this.backOffMs);
	}

	private void readBack() {
		this.records.get(this.self).whenComplete((stored, error) -> {
			if (error != null) {
				fail(error);
				return;
			}
			LeaseRecord record = stored.record();
			LeaseRecord sent = this.sentRecord;
			if (sent != null && record.changeId().equals(sent.changeId())) {
				succeed(record, stored.version());
			}
			else if (record.state() == LeaseRecordState.HELD && record.changeId().startsWith(this.changePrefix)) {
				// The write had no effect; a new one at the present version settles it.
				this.version = stored.version();
				this.epoch = record.epoch();
				this.reading = false;
				this.writing = false;
				write();
			}
			else {
				this.writing = false;
				this.lease.end("fenced at epoch " + record.epoch());
			}
		});
	}

	// Schedules the next write with a jitter of half the delay either way, so that the
	// instances of a fleet don't return together after an outage.
	private void scheduleNext(long delayMs) {
		this.next.cancel();
		this.next = this.timer.schedule(delayMs / 2 + this.random.nextLong(delayMs + 1), this::write);
	}

	static StoreFailure failureOf(Throwable error) {
		Throwable cause = (error instanceof CompletionException && error.getCause() != null) ? error.getCause() : error;
		return (cause instanceof StoreException ex) ? ex.failure() : StoreFailure.OUTCOME_UNKNOWN;
	}

}
