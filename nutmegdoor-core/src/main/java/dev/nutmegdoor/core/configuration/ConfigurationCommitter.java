package dev.nutmegdoor.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.distribution.StoreRetry;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.store.StoreFailure;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Commits changes, one at a time. The new shards and the history entry are written first
 * under unique names; a single conditional update of the head then commits the change. A
 * change is therefore never partially visible, and a committer that crashes leaves behind
 * at most unreferenced objects.
 */
final class ConfigurationCommitter {

	/** Maximum attempts to commit a change while other committers replace the head. */
	private static final int MAX_ROUNDS = 5;

	/** Maximum attempts to write the head in one round. */
	private static final int MAX_HEAD_WRITES = 6;

	private static final long RETRY_DELAY_BASE_MS = 100;

	/** Maximum number of history entries whose differences a lost change reports. */
	private static final int MAX_CONFLICTING_CHANGES = 50;

	/**
	 * Delay before replaced shards are deleted, so that an instance that has just read
	 * the previous head can still load them.
	 */
	private static final long DISCARD_DELAY_MS = 60_000;

	private final ConfigurationStore store;

	private final TimerService timer;

	private final UniformRandomProvider random;

	private final StepListener steps;

	private final Supplier<ConfigurationDocument> current;

	private final Consumer<ConfigurationDocument> commitListener;

	private CompletableFuture<?> lastCommit = CompletableFuture.completedFuture(null);

	ConfigurationCommitter(ConfigurationStore store, TimerService timer, UniformRandomProvider random,
			StepListener steps, Supplier<ConfigurationDocument> current,
			Consumer<ConfigurationDocument> commitListener) {
		this.store = store;
		this.timer = timer;
		this.random = random;
		this.steps = steps;
		this.current = current;
		this.commitListener = commitListener;
	}

	CompletableFuture<ConfigurationChangeResult> commit(ConfigurationChange change) {
		CompletableFuture<ConfigurationChangeResult> result = new CompletableFuture<>();
		Runnable start = () -> startRound(new Attempt(change, changeId(), result), 1);
		if (this.lastCommit.isDone()) {
			start.run();
		}
		else {
			this.lastCommit.whenComplete((ignored, error) -> start.run());
		}
		this.lastCommit = result;
		return result;
	}

	private String changeId() {
		return String.format("%016x", this.random.nextLong());
	}

	private void startRound(Attempt attempt, int round) {
		this.store.readHeadWithRetry()
			.thenCompose((stored) -> this.store.load(stored.head(), this.current.get())
				.thenAccept((base) -> validateAndWrite(attempt, round, stored, base)))
			.whenComplete((ignored, error) -> {
				if (error != null) {
					fail(attempt, round, error);
				}
			});
	}

	private void fail(Attempt attempt, int round, Throwable error) {
		StoreFailure failure = StoreRetry.failureOf(error);
		if (failure == null) {
			attempt.result.completeExceptionally(error);
		}
		else if (failure == StoreFailure.NOT_FOUND && round < MAX_ROUNDS) {
			// The head was replaced and its shards were deleted while they were read.
			startRound(attempt, round + 1);
		}
		else {
			attempt.finish(ConfigurationChangeOutcome.UNAVAILABLE, 0, List.of());
		}
	}

	private void validateAndWrite(Attempt attempt, int round, StoredHead stored, ConfigurationDocument base) {
		ConfigurationChange change = attempt.change;
		Long expectedVersion = change.expectedVersion();
		if (expectedVersion == null) {
			if (attempt.base != null && attempt.base.isAffectedBy(change.edits(), base)) {
				finishAsLost(attempt, base, attempt.base.version());
				return;
			}
		}
		else if (expectedVersion != base.version()) {
			finishAsLost(attempt, base, expectedVersion);
			return;
		}
		attempt.base = base;
		base.next(this.timer, change.edits(), attempt.changeId, change.author()).whenComplete((next, error) -> {
			if (error != null) {
				attempt.reject(base.version(),
						List.of(new ConfigurationError("edits", String.valueOf(error.getMessage()), "JSON objects")));
				return;
			}
			List<ConfigurationError> errors = ConfigurationValidator.validate(next, change.edits());
			if (!errors.isEmpty()) {
				attempt.reject(base.version(), errors);
			}
			else if (next.version() == base.version()) {
				attempt.finish(ConfigurationChangeOutcome.UNCHANGED, base.version(), List.of());
			}
			else {
				base.compare(this.timer, next).thenAccept((comparison) -> {
					attempt.differences = comparison.differences();
					writeObjects(attempt, round, stored, base, next);
				});
			}
		});
	}

	private void writeObjects(Attempt attempt, int round, StoredHead stored, ConfigurationDocument base,
			ConfigurationDocument next) {
		List<CompletableFuture<Void>> writes = new ArrayList<>();
		for (ConfigurationShard shard : findAddedShards(base, next)) {
			writes.add(this.store.createOnce(ConfigurationStore.SHARD_KIND, shard.name(), shard.text()));
		}
		String entry = ConfigurationJson
			.write(ConfigurationChangeRecord.of(base, next, attempt.change.reason(), attempt.differences));
		writes.add(this.store.createOnce(ConfigurationStore.CHANGE_KIND, attempt.changeId, entry));
		CompletableFuture.allOf(writes.toArray(new CompletableFuture<?>[0])).whenComplete((ignored, error) -> {
			if (error != null) {
				discardObjects(attempt, base, next);
				fail(attempt, MAX_ROUNDS, error);
			}
			else {
				this.steps.reached(Step.CONFIGURATION_COMMIT);
				writeHead(attempt, round, stored, base, next, 1, false);
			}
		});
	}

	private void writeHead(Attempt attempt, int round, StoredHead stored, ConfigurationDocument base,
			ConfigurationDocument next, int writeAttempt, boolean wasPossiblyWritten) {
		this.store.writeHead(stored.objectVersion(), next.head()).whenComplete((object, error) -> {
			if (error == null) {
				accept(attempt, base, next);
				return;
			}
			StoreFailure failure = StoreRetry.failureOf(error);
			boolean isPossiblyWritten = wasPossiblyWritten || failure == StoreFailure.OUTCOME_UNKNOWN;
			if (failure == StoreFailure.CONFLICT || failure == StoreFailure.NOT_FOUND) {
				resolveConflict(attempt, round, base, next, isPossiblyWritten);
			}
			else if (failure != null && failure.isRetryable() && writeAttempt < MAX_HEAD_WRITES) {
				// A retried write cannot take effect twice: once one has, the condition
				// on the object version fails for the others.
				long delayMs = 1 + this.random.nextLong(RETRY_DELAY_BASE_MS << writeAttempt);
				this.timer.schedule(delayMs,
						() -> writeHead(attempt, round, stored, base, next, writeAttempt + 1, isPossiblyWritten));
			}
			else if (isPossiblyWritten) {
				attempt.finish(ConfigurationChangeOutcome.UNKNOWN, 0, List.of());
			}
			else {
				discardObjects(attempt, base, next);
				fail(attempt, MAX_ROUNDS, error);
			}
		});
	}

	private void resolveConflict(Attempt attempt, int round, ConfigurationDocument base, ConfigurationDocument next,
			boolean isPossiblyWritten) {
		this.store.readHeadWithRetry().whenComplete((stored, error) -> {
			if (error != null) {
				attempt.finish(
						isPossiblyWritten ? ConfigurationChangeOutcome.UNKNOWN : ConfigurationChangeOutcome.UNAVAILABLE,
						0, List.of());
			}
			else if (stored.head().recentChangeIds().contains(attempt.changeId)) {
				accept(attempt, base, next);
			}
			else {
				discardObjects(attempt, base, next);
				if (round < MAX_ROUNDS) {
					startRound(attempt.restartWithId(changeId()), round + 1);
				}
				else {
					finishAsLost(attempt, base, base.version());
				}
			}
		});
	}

	private void accept(Attempt attempt, ConfigurationDocument base, ConfigurationDocument next) {
		this.commitListener.accept(next);
		List<ConfigurationShard> replaced = findAddedShards(next, base);
		this.timer.schedule(DISCARD_DELAY_MS,
				() -> replaced.forEach((shard) -> this.store.discard(ConfigurationStore.SHARD_KIND, shard.name())));
		attempt.finish(ConfigurationChangeOutcome.ACCEPTED, next.version(), attempt.differences);
	}

	private void finishAsLost(Attempt attempt, ConfigurationDocument base, long afterVersion) {
		this.store.history(base.head().changeId(), afterVersion, MAX_CONFLICTING_CHANGES)
			.whenComplete((entries, error) -> {
				List<ConfigurationDifference> differences = new ArrayList<>();
				if (error == null) {
					for (int i = entries.size() - 1; i >= 0; i--) {
						differences.addAll(entries.get(i).differences());
					}
				}
				attempt.finish(ConfigurationChangeOutcome.LOST, base.version(), differences);
			});
	}

	private void discardObjects(Attempt attempt, ConfigurationDocument base, ConfigurationDocument next) {
		findAddedShards(base, next).forEach((shard) -> this.store.discard(ConfigurationStore.SHARD_KIND, shard.name()));
		this.store.discard(ConfigurationStore.CHANGE_KIND, attempt.changeId);
	}

	private static List<ConfigurationShard> findAddedShards(ConfigurationDocument before, ConfigurationDocument after) {
		List<ConfigurationShard> shards = new ArrayList<>();
		for (int i = 0; i < after.shards().size(); i++) {
			ConfigurationShard shard = after.shards().get(i);
			if (shard != ConfigurationShard.EMPTY && !shard.name().equals(before.shards().get(i).name())) {
				shards.add(shard);
			}
		}
		return shards;
	}

	private static final class Attempt {

		private final ConfigurationChange change;

		private final String changeId;

		private final CompletableFuture<ConfigurationChangeResult> result;

		private @Nullable ConfigurationDocument base;

		private List<ConfigurationDifference> differences = List.of();

		private Attempt(ConfigurationChange change, String changeId,
				CompletableFuture<ConfigurationChangeResult> result) {
			this.change = change;
			this.changeId = changeId;
			this.result = result;
		}

		/**
		 * Creates an attempt with a new change identifier, because the objects written
		 * under the previous identifier were discarded.
		 * @param newChangeId identifier that no object in the store uses yet
		 * @return an attempt for the same change, which completes the same result
		 */
		private Attempt restartWithId(String newChangeId) {
			Attempt attempt = new Attempt(this.change, newChangeId, this.result);
			attempt.base = this.base;
			return attempt;
		}

		private void reject(long version, List<ConfigurationError> errors) {
			this.result.complete(new ConfigurationChangeResult(ConfigurationChangeOutcome.INVALID, this.changeId,
					version, errors, List.of()));
		}

		private void finish(ConfigurationChangeOutcome outcome, long version,
				List<ConfigurationDifference> differences) {
			this.result.complete(ConfigurationChangeResult.of(outcome, this.changeId, version, differences));
		}

	}

}
