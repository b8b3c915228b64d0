package dev.nutmegdoor.core.store;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Call that waits for a token, for its response or for its next attempt.
 *
 * @param <T> type of the response
 */
final class PendingCall<T> {

	private final Supplier<CompletableFuture<T>> operation;

	private final CompletableFuture<T> result = new CompletableFuture<>();

	private final boolean urgent;

	private final long deadlineMs;

	private int attempts;

	PendingCall(Supplier<CompletableFuture<T>> operation, boolean isUrgent, long deadlineMs) {
		this.operation = operation;
		this.urgent = isUrgent;
		this.deadlineMs = deadlineMs;
	}

	CompletableFuture<T> result() {
		return this.result;
	}

	boolean isUrgent() {
		return this.urgent;
	}

	long deadlineMs() {
		return this.deadlineMs;
	}

	int attempts() {
		return this.attempts;
	}

	CompletableFuture<T> send() {
		this.attempts++;
		return this.operation.get();
	}

}
