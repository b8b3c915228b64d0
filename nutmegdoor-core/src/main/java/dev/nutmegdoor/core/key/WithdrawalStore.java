package dev.nutmegdoor.core.key;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.distribution.RendezvousHash;
import dev.nutmegdoor.core.distribution.StoreRetry;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StoreFailure;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Synchronizes the withdrawals of this instance with those in the store. The watchers of
 * each zone watch the store and, after an outage, write the withdrawals that it lacks,
 * regardless of which instance accepted them.
 */
final class WithdrawalStore {

	private static final String KIND = "key-withdrawal";

	private static final long CHECK_PERIOD_MS = 500;

	private static final long WATCH_TIMEOUT_MS = 10_000;

	/**
	 * Upper bound of the random delay before missing withdrawals are written. The other
	 * watchers receive the update of the first writer through their watch, so that most
	 * of them have nothing left to write.
	 */
	private static final long MAX_WRITE_DELAY_MS = 4_000;

	private static final int MAX_ATTEMPTS = 6;

	private final ObjectMapper mapper = new ObjectMapper();

	private final ObjectStore store;

	private final TimerService timer;

	private final MembershipView membership;

	private final UniformRandomProvider random;

	private final int watchersPerZone;

	private final WithdrawalSet withdrawals;

	private final Consumer<List<KeyWithdrawal>> withdrawalListener;

	private final Runnable contactListener;

	private final Set<KeyId> storedKeys = new HashSet<>();

	private boolean isWatching;

	private boolean isLoaded;

	private boolean isWriting;

	WithdrawalStore(ObjectStore store, TimerService timer, MembershipView membership, UniformRandomProvider random,
			int watchersPerZone, WithdrawalSet withdrawals, Consumer<List<KeyWithdrawal>> withdrawalListener,
			Runnable contactListener) {
		this.store = store;
		this.timer = timer;
		this.membership = membership;
		this.random = random;
		this.watchersPerZone = watchersPerZone;
		this.withdrawals = withdrawals;
		this.withdrawalListener = withdrawalListener;
		this.contactListener = contactListener;
	}

	void start() {
		this.timer.subscribe(CHECK_PERIOD_MS, this::watchAndRepair);
	}

	boolean isWatching() {
		return this.isWatching;
	}

	int unstoredCount() {
		return findUnstored().size();
	}

	/**
	 * Reads all withdrawals from the store.
	 * @return the store version after which to start a watch; fails if the store is
	 * unavailable
	 */
	CompletableFuture<Long> readAll() {
		return this.store.list(KIND, "").thenApply((page) -> {
			this.contactListener.run();
			page.objects().forEach((object) -> recordStored(object.value()));
			return page.version();
		});
	}

	/**
	 * Writes withdrawals. Writes are idempotent and are therefore retried if the outcome
	 * is unknown.
	 * @param added withdrawals to add to those in the store
	 * @return a future that completes when the store contains the withdrawals; fails with
	 * the last error after {@link #MAX_ATTEMPTS} attempts, or with the first error that
	 * cannot be retried
	 */
	CompletableFuture<Void> write(Collection<KeyWithdrawal> added) {
		Map<Integer, List<KeyWithdrawal>> byBucket = new TreeMap<>();
		for (KeyWithdrawal withdrawal : added) {
			byBucket.computeIfAbsent(WithdrawalSet.bucketOf(withdrawal.key()), (key) -> new ArrayList<>())
				.add(withdrawal);
		}
		List<CompletableFuture<Void>> writes = new ArrayList<>();
		byBucket.forEach((bucket, bucketWithdrawals) -> {
			CompletableFuture<Void> write = new CompletableFuture<>();
			writeBucket(String.format("%02d", bucket), bucketWithdrawals, 1, write);
			writes.add(write);
		});
		return CompletableFuture.allOf(writes.toArray(new CompletableFuture<?>[0]));
	}

	private void writeBucket(String name, List<KeyWithdrawal> added, int attempt, CompletableFuture<Void> result) {
		this.store.get(KIND, name).whenComplete((object, error) -> {
			StoreFailure failure = (error != null) ? StoreRetry.failureOf(error) : null;
			if (error != null && failure != StoreFailure.NOT_FOUND) {
				retry(name, added, attempt, error, result);
				return;
			}
			ObjectNode content = parse((object != null) ? object.value() : "{}");
			boolean isChanged = merge(content, added);
			CompletableFuture<StoredObject> write;
			if (object == null) {
				write = this.store.create(KIND, name, content.toString());
			}
			else {
				write = isChanged ? this.store.update(KIND, name, object.version(), content.toString())
						: CompletableFuture.completedFuture(object);
			}
			write.whenComplete((written, writeError) -> {
				if (writeError != null) {
					retry(name, added, attempt, writeError, result);
				}
				else {
					this.contactListener.run();
					recordStored(written.value());
					result.complete(null);
				}
			});
		});
	}

	private void retry(String name, List<KeyWithdrawal> added, int attempt, Throwable error,
			CompletableFuture<Void> result) {
		StoreFailure failure = StoreRetry.failureOf(error);
		boolean isRetryable = failure != null
				&& (failure.isRetryable() || failure == StoreFailure.CONFLICT || failure == StoreFailure.NOT_FOUND);
		if (!isRetryable || attempt >= MAX_ATTEMPTS) {
			result.completeExceptionally(error);
			return;
		}
		long delayMs = 1 + this.random.nextLong(50L << attempt);
		this.timer.schedule(delayMs, () -> writeBucket(name, added, attempt + 1, result));
	}

	private void watchAndRepair() {
		boolean isChosen = RendezvousHash.isChosen(KIND, this.watchersPerZone, this.membership);
		if (!this.isWatching && isChosen) {
			this.isWatching = true;
			reload();
		}
		if (!this.isWatching || !this.isLoaded || this.isWriting || findUnstored().isEmpty()) {
			return;
		}
		this.isWriting = true;
		this.timer.schedule(this.random.nextLong(MAX_WRITE_DELAY_MS),
				() -> write(findUnstored()).whenComplete((ignored, error) -> this.isWriting = false));
	}

	private List<KeyWithdrawal> findUnstored() {
		return this.withdrawals.all()
			.stream()
			.filter((withdrawal) -> !this.storedKeys.contains(withdrawal.key()))
			.toList();
	}

	private void reload() {
		readAll().whenComplete((version, error) -> {
			if (error != null) {
				scheduleReload();
			}
			else {
				this.isLoaded = true;
				watch(version);
			}
		});
	}

	private void watch(long afterVersion) {
		if (!RendezvousHash.isChosen(KIND, this.watchersPerZone, this.membership)) {
			this.isWatching = false;
			this.isLoaded = false;
			return;
		}
		this.store.watch(KIND, afterVersion, WATCH_TIMEOUT_MS).whenComplete((result, error) -> {
			if (error != null) {
				scheduleReload();
			}
			else if (result.isReset()) {
				reload();
			}
			else {
				this.contactListener.run();
				for (StoreEvent event : result.events()) {
					String value = event.value();
					if (value != null) {
						recordStored(value);
					}
				}
				watch(result.version());
			}
		});
	}

	private void scheduleReload() {
		this.isLoaded = false;
		this.timer.schedule(CHECK_PERIOD_MS / 2 + 1 + this.random.nextLong(CHECK_PERIOD_MS), this::reload);
	}

	private void recordStored(String value) {
		List<KeyWithdrawal> storedWithdrawals = new ArrayList<>();
		parse(value).properties().forEach((entry) -> {
			JsonNode fields = entry.getValue();
			KeyId key = new KeyId(entry.getKey());
			this.storedKeys.add(key);
			storedWithdrawals.add(new KeyWithdrawal(key, fields.path("author").asText(), fields.path("reason").asText(),
					fields.path("timeMs").asLong()));
		});
		this.withdrawalListener.accept(storedWithdrawals);
	}

	private static boolean merge(ObjectNode content, List<KeyWithdrawal> added) {
		boolean isChanged = false;
		for (KeyWithdrawal withdrawal : added) {
			if (!content.has(withdrawal.key().value())) {
				content.putObject(withdrawal.key().value())
					.put("author", withdrawal.author())
					.put("reason", withdrawal.reason())
					.put("timeMs", withdrawal.timeMs());
				isChanged = true;
			}
		}
		return isChanged;
	}

	private ObjectNode parse(String value) {
		try {
			return (ObjectNode) this.mapper.readTree(value);
		}
		catch (JsonProcessingException | ClassCastException ex) {
			throw new IllegalStateException("stored withdrawals are not a JSON object", ex);
		}
	}

}
