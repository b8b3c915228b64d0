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
 * Repeats store calls with jittered back-off, up to a number of attempts. A caller
 * chooses it only for calls that may take effect twice without harm.
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
	 * Returns the failure behind an exceptional completion.
	 * @param error the exception
	 * @return the failure, or {@code null} if the exception isn't one of the store
	 */
	public static @Nullable StoreFailure failureOf(Throwable error) {
		Throwable cause = (error instanceof CompletionException && error.getCause() != null) ? error.getCause() : error;
		return (cause instanceof StoreException ex) ? ex.failure() : null;
	}

	/**
	 * Repeats a call while its failure is retryable.
	 * @param call the call
	 * @param <T> type of the answer
	 * @return the answer, or the last failure
	 */
	public <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
		CompletableFuture<T> result = new CompletableFuture<>();
		attempt(call, 1, result);
		return result;
	}

	/**
	 * Creates an object whose name belongs to this value alone, so that an existing one
	 * is the effect of an earlier attempt.
	 * @param store the store
	 * @param kind kind of the object
	 * @param name name of the object
	 * @param value the value
	 * @return completes when the object exists
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
