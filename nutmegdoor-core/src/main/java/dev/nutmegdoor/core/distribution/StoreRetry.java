package dev.nutmegdoor.core.distribution;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreException;
import dev.nutmegdoor.core.store.StoreFailure;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Retries store calls with exponential backoff and jitter, up to a fixed number of
 * attempts. Suitable only for calls that may take effect twice, because the response to a
 * call that took effect may be lost.
 */
public final class StoreRetry {

	private static final long BASE_DELAY_MS = 50;

	private static final int MAX_ATTEMPTS = 6;

	private final TimerService timer;

	private final UniformRandomProvider random;

	public StoreRetry(TimerService timer, UniformRandomProvider random) {
		this.timer = timer;
		this.random = random;
	}

	/**
	 * Returns the store failure that caused the exceptional completion of a future.
	 * @param error exception with which the future completed
	 * @return the failure, or {@code null} if the cause is not a {@link StoreException}
	 */
	public static @Nullable StoreFailure failureOf(Throwable error) {
		Throwable cause = (error instanceof CompletionException && error.getCause() != null) ? error.getCause() : error;
		return (cause instanceof StoreException ex) ? ex.failure() : null;
	}

	/**
	 * Makes a call and retries it while its failure is retryable.
	 * @param call starts one attempt
	 * @param <T> type of the result
	 * @return completes with the result, or fails with the error of the last attempt
	 */
	public <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
		CompletableFuture<T> result = new CompletableFuture<>();
		attempt(call, 1, result);
		return result;
	}

	/**
	 * Creates an object with retries. The name must be unique to the value, because an
	 * object that already exists is treated as the effect of an earlier attempt.
	 * @param store store in which the object is created
	 * @param kind kind of the object
	 * @param name name that no object with another value uses
	 * @param value content of the object
	 * @return completes once the object exists
	 */
	public CompletableFuture<Void> createOnce(ObjectStore store, String kind, String name, String value) {
		CompletableFuture<Void> result = new CompletableFuture<>();
		call(() -> store.create(kind, name, value)).whenComplete((object, error) -> {
			if (error == null || failureOf(error) == StoreFailure.CONFLICT) {
				result.complete(null);
			}
			else {
				result.completeExceptionally(error);
			}
		});
		return result;
	}

	private <T> void attempt(Supplier<CompletableFuture<T>> call, int attemptNumber, CompletableFuture<T> result) {
		call.get().whenComplete((value, error) -> {
			if (error == null) {
				result.complete(value);
				return;
			}
			StoreFailure failure = failureOf(error);
			if (failure == null || !failure.isRetryable() || attemptNumber >= MAX_ATTEMPTS) {
				result.completeExceptionally(error);
				return;
			}
			long delayMs = 1 + this.random.nextLong(BASE_DELAY_MS << attemptNumber);
			this.timer.schedule(delayMs, () -> attempt(call, attemptNumber + 1, result));
		});
	}

}
