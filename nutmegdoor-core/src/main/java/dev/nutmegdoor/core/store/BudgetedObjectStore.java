package dev.nutmegdoor.core.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Limits the store calls of this process to its budget: calls wait for a token, calls
 * that had no effect are retried with jittered backoff until a deadline, equal reads are
 * coalesced, and calls fail immediately during an outage. A call whose outcome is unknown
 * is never retried here, because only its caller can determine whether it took effect.
 * Must be used on the control thread.
 */
public final class BudgetedObjectStore implements ObjectStore {

	/**
	 * Timeout in milliseconds of a watch that is sent as a probe during an outage. No
	 * other call is sent until the probe completes, so the full timeout would block them.
	 */
	private static final long PROBE_WATCH_TIMEOUT_MS = 200;

	private final ObjectStore store;

	private final TimerService timer;

	private final UniformRandomProvider random;

	private final CallBudgetSettings settings;

	private final Set<String> urgentKinds;

	private final EventLog events;

	private final CallBudget budget;

	private final CircuitBreaker breaker;

	private final ReadCoalescer coalescer = new ReadCoalescer();

	private final Deque<PendingCall<?>> urgentQueue = new ArrayDeque<>();

	private final Deque<PendingCall<?>> normalQueue = new ArrayDeque<>();

	private boolean isDrainScheduled;

	private long sentCalls;

	private long rejectedCalls;

	/**
	 * Creates a client with a full budget and a closed circuit breaker.
	 * @param store sends each call without limits or retries
	 * @param timer source of time
	 * @param random source of jitter
	 * @param settings limits of rate, queue, retries and circuit breaker
	 * @param urgentKinds kinds of objects whose calls are sent before all others, such as
	 * {@code lease}
	 * @param events receives {@code platform.breaker-opened} and
	 * {@code platform.breaker-closed}
	 */
	public BudgetedObjectStore(ObjectStore store, TimerService timer, UniformRandomProvider random,
			CallBudgetSettings settings, Set<String> urgentKinds, EventLog events) {
		this.store = store;
		this.timer = timer;
		this.random = random;
		this.settings = settings;
		this.urgentKinds = Set.copyOf(urgentKinds);
		this.events = events;
		this.budget = new CallBudget(timer, settings.callsPerSecond(), settings.burst());
		this.breaker = new CircuitBreaker(timer, random, settings);
	}

	@Override
	public CompletableFuture<StoredObject> get(String kind, String name) {
		return this.coalescer.read("get " + kind + "/" + name, () -> submit(kind, () -> this.store.get(kind, name)));
	}

	@Override
	public CompletableFuture<StorePage> list(String kind, String prefix) {
		return this.coalescer.read("list " + kind + "/" + prefix,
				() -> submit(kind, () -> this.store.list(kind, prefix)));
	}

	@Override
	public CompletableFuture<StoredObject> create(String kind, String name, String value) {
		return submit(kind, () -> this.store.create(kind, name, value));
	}

	@Override
	public CompletableFuture<StoredObject> update(String kind, String name, long expectedVersion, String value) {
		return submit(kind, () -> this.store.update(kind, name, expectedVersion, value));
	}

	@Override
	public CompletableFuture<Void> delete(String kind, String name, long expectedVersion) {
		return submit(kind, () -> this.store.delete(kind, name, expectedVersion));
	}

	@Override
	public CompletableFuture<Void> reportStatus(String kind, String name, String status) {
		return submit(kind, () -> this.store.reportStatus(kind, name, status));
	}

	@Override
	public CompletableFuture<StoreWatchResult> watch(String kind, long afterVersion, long timeoutMs) {
		return submit(kind, () -> this.store.watch(kind, afterVersion,
				this.breaker.isOpen() ? Math.min(timeoutMs, PROBE_WATCH_TIMEOUT_MS) : timeoutMs));
	}

	public CallBudgetDump dump() {
		return new CallBudgetDump(this.budget.tokens(), this.urgentQueue.size() + this.normalQueue.size(),
				this.breaker.isOpen(), this.breaker.openedCount(), this.sentCalls, this.coalescer.coalescedReads(),
				this.rejectedCalls);
	}

	private <T> CompletableFuture<T> submit(String kind, Supplier<CompletableFuture<T>> operation) {
		PendingCall<T> call = new PendingCall<>(operation, this.urgentKinds.contains(kind),
				this.timer.nowMs() + this.settings.deadlineMs());
		enqueue(call);
		return call.result();
	}

	private void enqueue(PendingCall<?> call) {
		if (this.urgentQueue.size() + this.normalQueue.size() >= this.settings.maxQueuedCalls()) {
			reject(call, StoreFailure.RATE_LIMITED, "too many calls wait for the call budget");
			return;
		}
		(call.isUrgent() ? this.urgentQueue : this.normalQueue).addLast(call);
		drain();
	}

	private void drain() {
		PendingCall<?> call = peekNext();
		while (call != null) {
			if (this.timer.nowMs() > call.deadlineMs()) {
				removeNext();
				reject(call, StoreFailure.RATE_LIMITED, "the call waited too long for the call budget");
			}
			else if (!this.breaker.tryAcquirePermission()) {
				removeNext();
				reject(call, StoreFailure.UNAVAILABLE, "the platform is out; the circuit breaker is open");
			}
			else if (this.breaker.isOpen() || this.budget.tryAcquire()) {
				removeNext();
				send(call);
			}
			else {
				scheduleDrain();
				return;
			}
			call = peekNext();
		}
	}

	private @Nullable PendingCall<?> peekNext() {
		PendingCall<?> urgent = this.urgentQueue.peekFirst();
		return (urgent != null) ? urgent : this.normalQueue.peekFirst();
	}

	private void removeNext() {
		if (this.urgentQueue.pollFirst() == null) {
			this.normalQueue.pollFirst();
		}
	}

	private void scheduleDrain() {
		if (this.isDrainScheduled) {
			return;
		}
		this.isDrainScheduled = true;
		this.timer.schedule(this.budget.delayToNextCallMs(), () -> {
			this.isDrainScheduled = false;
			drain();
		});
	}

	private void reject(PendingCall<?> call, StoreFailure failure, String message) {
		this.rejectedCalls++;
		call.result().completeExceptionally(new StoreException(failure, message));
	}

	private <T> void send(PendingCall<T> call) {
		this.sentCalls++;
		call.send().whenComplete((value, error) -> {
			if (error == null) {
				onResponse();
				call.result().complete(value);
			}
			else {
				onFailure(call, error);
			}
		});
	}

	private void onFailure(PendingCall<?> call, Throwable error) {
		Throwable cause = StoreException.causeOf(error);
		StoreFailure failure = (cause instanceof StoreException ex) ? ex.failure() : StoreFailure.OUTCOME_UNKNOWN;
		if (failure == StoreFailure.UNAVAILABLE || failure == StoreFailure.OUTCOME_UNKNOWN) {
			if (this.breaker.recordFailure()) {
				this.events.record("platform.breaker-opened", "failure", failure);
			}
		}
		else {
			onResponse();
		}
		long delayMs = backoffMs(call.attempts());
		boolean isRetried = failure.isRetryable() && failure.isWithoutEffect() && !this.breaker.isOpen()
				&& call.attempts() < this.settings.maxAttempts() && this.timer.nowMs() + delayMs < call.deadlineMs();
		if (isRetried) {
			this.timer.schedule(delayMs, () -> enqueue(call));
		}
		else {
			call.result().completeExceptionally(cause);
		}
	}

	private void onResponse() {
		if (this.breaker.recordSuccess()) {
			long windowMs = this.settings.resumeWindowMs() / 2 + this.random.nextLong(this.settings.resumeWindowMs());
			this.budget.resume(windowMs);
			this.events.record("platform.breaker-closed", "resumeWindowMs", windowMs);
		}
		drain();
	}

	private long backoffMs(int attempts) {
		long maxDelayMs = Math.min(this.settings.backoffMaxMs(),
				this.settings.backoffBaseMs() << Math.min(attempts, 20));
		return 1 + this.random.nextLong(maxDelayMs);
	}

}
