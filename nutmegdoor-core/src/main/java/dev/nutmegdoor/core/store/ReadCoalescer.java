package dev.nutmegdoor.core.store;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

/**
 * Coalesces equal reads. A read that arrives while an equal one is in flight does not
 * join it, because the result of that one may be older than a change which the new caller
 * has already observed; all such reads share one call that starts afterwards.
 */
final class ReadCoalescer {

	private final Map<String, InFlightRead<?>> readsByKey = new HashMap<>();

	private long coalescedReads;

	long coalescedReads() {
		return this.coalescedReads;
	}

	@SuppressWarnings("unchecked")
	<T> CompletableFuture<T> read(String key, Supplier<CompletableFuture<T>> call) {
		InFlightRead<T> read = (InFlightRead<T>) this.readsByKey.get(key);
		if (read == null) {
			read = new InFlightRead<>();
			this.readsByKey.put(key, read);
			return start(key, read, call, new CompletableFuture<>());
		}
		if (read.nextResult != null) {
			this.coalescedReads++;
			return read.nextResult;
		}
		CompletableFuture<T> nextResult = new CompletableFuture<>();
		read.nextResult = nextResult;
		read.nextCall = call;
		return nextResult;
	}

	private <T> CompletableFuture<T> start(String key, InFlightRead<T> read, Supplier<CompletableFuture<T>> call,
			CompletableFuture<T> result) {
		call.get().whenComplete((value, error) -> {
			onCompleted(key, read);
			if (error != null) {
				result.completeExceptionally(error);
			}
			else {
				result.complete(value);
			}
		});
		return result;
	}

	private <T> void onCompleted(String key, InFlightRead<T> read) {
		CompletableFuture<T> nextResult = read.nextResult;
		Supplier<CompletableFuture<T>> call = read.nextCall;
		if (nextResult == null || call == null) {
			this.readsByKey.remove(key);
			return;
		}
		read.nextResult = null;
		read.nextCall = null;
		start(key, read, call, nextResult);
	}

	private static final class InFlightRead<T> {

		private @Nullable CompletableFuture<T> nextResult;

		private @Nullable Supplier<CompletableFuture<T>> nextCall;

	}

}
