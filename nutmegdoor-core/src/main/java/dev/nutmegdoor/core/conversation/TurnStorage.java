package dev.nutmegdoor.core.conversation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.time.TimerService;

/**
 * The turns of one member: their log and the index of what it contains. Runs on the
 * control thread.
 */
final class TurnStorage {

	/**
	 * Time in milliseconds for which a turn is kept beyond its retention. A client may
	 * name a turn at the end of the retention, and the chain is still needed when the
	 * response to it ends.
	 */
	static final long MARGIN_MS = 30_000;

	/** Maximum content in bytes of the turns that are read for one message. */
	static final long MAX_READ_BYTES = 1024 * 1024;

	/**
	 * Maximum content of a turn in bytes. A message of one turn must fit into a frame of
	 * 4 MiB.
	 */
	static final long MAX_TURN_BYTES = 4 * 1024 * 1024 - 65_536;

	private static final long MAX_RETENTION_MS = 24 * 3_600_000L;

	private static final long EXPIRY_PERIOD_MS = 5_000;

	/** Limits the memory that answers occupy before they are sent. */
	private static final int MAX_CONCURRENT_READS = 4;

	private static final int MAX_WAITING_READS = 256;

	private final TurnIndex index = new TurnIndex();

	private final Map<TurnKey, CompletableFuture<Void>> appending = new HashMap<>();

	private final Deque<Runnable> waitingReads = new ArrayDeque<>();

	private final TurnLog log;

	private final TimerService timer;

	private final EventLog events;

	private final InvariantRegistry invariants;

	private Runnable lossListener = () -> {
	};

	private int runningReads;

	private long refusedAppends;

	private boolean isRefusing;

	private boolean isExpiring;

	TurnStorage(TurnLog log, TimerService timer, EventLog events, InvariantRegistry invariants) {
		this.log = log;
		this.timer = timer;
		this.events = events;
		this.invariants = invariants;
	}

	/**
	 * Adds the turns of the log.
	 * @param recovered turns in any order
	 */
	void recover(List<TurnSummary> recovered) {
		long nowMs = this.timer.nowMs();
		recovered.forEach((turn) -> this.index.add(turn, nowMs));
		expire();
		expireRegularly();
	}

	/**
	 * Sets the listener for damaged records.
	 * @param lossListener called when a turn that was confirmed can't be read
	 */
	void setLossListener(Runnable lossListener) {
		this.lossListener = lossListener;
	}

	TurnIndex index() {
		return this.index;
	}

	TurnLog log() {
		return this.log;
	}

	long refusedAppends() {
		return this.refusedAppends;
	}

	boolean has(TurnKey key) {
		return this.index.find(key) != null;
	}

	/**
	 * Returns the appends that have not ended.
	 * @return their results
	 */
	List<CompletableFuture<Void>> running() {
		return List.copyOf(this.appending.values());
	}

	/**
	 * Stores a turn, unless it is stored already.
	 * @param turn the turn
	 * @return completes when the turn is on the disk
	 */
	CompletableFuture<Void> store(StoredTurn turn) {
		long contentBytes = (long) turn.input().length + turn.output().length;
		long keepMs = Math.max(0, Math.min(turn.retentionMs(), MAX_RETENTION_MS)) + MARGIN_MS;
		TurnSummary summary = new TurnSummary(turn.key(), turn.previousId(), turn.group(), contentBytes, keepMs);
		if (has(turn.key())) {
			this.index.add(summary, this.timer.nowMs());
			return CompletableFuture.completedFuture(null);
		}
		CompletableFuture<Void> earlier = this.appending.get(turn.key());
		if (earlier != null) {
			return earlier;
		}
		if (contentBytes > MAX_TURN_BYTES) {
			return CompletableFuture
				.failedFuture(new TurnLogException("a turn of " + contentBytes + " bytes is too long", null));
		}
		CompletableFuture<Void> append = this.log.append(turn, keepMs);
		if (!append.isDone()) {
			this.appending.put(turn.key(), append);
		}
		return append.whenComplete((done, error) -> {
			this.appending.remove(turn.key());
			recordResult(error);
			if (error == null) {
				this.index.add(summary, this.timer.nowMs());
				expireRegularly();
			}
		});
	}

	/**
	 * Reads turns, starting with the first one, as many as fit into one message.
	 * @param entries the turns, at least the first of which is read
	 * @return the turns that could be read, with the time for which they are still kept
	 */
	CompletableFuture<List<StoredTurn>> read(List<TurnIndex.Entry> entries) {
		List<TurnKey> keys = new ArrayList<>();
		long bytes = 0;
		for (TurnIndex.Entry entry : entries) {
			bytes += entry.contentBytes();
			if (!keys.isEmpty() && bytes > MAX_READ_BYTES) {
				break;
			}
			keys.add(entry.key());
		}
		if (keys.isEmpty()) {
			return CompletableFuture.completedFuture(List.of());
		}
		return limited(() -> this.log.read(keys)).thenApply((turns) -> {
			reportLost(keys, turns);
			return turns.stream().map(this::withRemainingRetention).toList();
		});
	}

	private CompletableFuture<List<StoredTurn>> limited(Supplier<CompletableFuture<List<StoredTurn>>> read) {
		if (this.waitingReads.size() >= MAX_WAITING_READS) {
			return CompletableFuture.failedFuture(new TurnLogException("too many turns are being read", null));
		}
		CompletableFuture<List<StoredTurn>> result = new CompletableFuture<>();
		this.waitingReads.add(() -> read.get().whenComplete((turns, error) -> {
			this.runningReads--;
			if (error != null) {
				result.completeExceptionally(error);
			}
			else {
				result.complete(turns);
			}
			startReads();
		}));
		startReads();
		return result;
	}

	private void startReads() {
		while (this.runningReads < MAX_CONCURRENT_READS && !this.waitingReads.isEmpty()) {
			this.runningReads++;
			this.waitingReads.remove().run();
		}
	}

	private void reportLost(List<TurnKey> requested, List<StoredTurn> turns) {
		Set<TurnKey> missing = new HashSet<>(requested);
		turns.forEach((turn) -> missing.remove(turn.key()));
		missing.removeIf((key) -> !has(key));
		if (!missing.isEmpty()) {
			missing.forEach(this.index::lose);
			this.log.remove(missing);
			this.events.record("turns.lost", "turns", missing.size());
			this.lossListener.run();
		}
	}

	private StoredTurn withRemainingRetention(StoredTurn turn) {
		TurnIndex.Entry entry = this.index.find(turn.key());
		long remainingMs = (entry != null) ? entry.expiresAtMs() - this.timer.nowMs() - MARGIN_MS : 0;
		return new StoredTurn(turn.key(), turn.previousId(), turn.group(), turn.input(), turn.output(),
				Math.max(1, remainingMs));
	}

	private void recordResult(@Nullable Throwable error) {
		if (error == null) {
			this.isRefusing = false;
			return;
		}
		this.refusedAppends++;
		if (!this.isRefusing) {
			this.isRefusing = true;
			this.events.record("turns.refused", "error", String.valueOf(error.getMessage()));
		}
	}

	// Members of deployments that keep no turns have no timer.
	private void expireRegularly() {
		if (!this.isExpiring && this.index.size() > 0) {
			this.isExpiring = true;
			this.timer.subscribe(EXPIRY_PERIOD_MS, this::expire);
		}
	}

	private void expire() {
		Set<TurnKey> expired = Set.copyOf(this.index.expire(this.timer.nowMs()));
		this.invariants.check(Invariant.HISTORY_INTEGRITY, !this.index.continuesAnyOf(expired),
				() -> "turns expired that a kept turn continues: " + expired);
		this.log.remove(expired);
	}

}
