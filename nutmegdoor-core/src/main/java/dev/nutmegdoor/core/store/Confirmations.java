package dev.nutmegdoor.core.store;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.time.TimerService;

/**
 * Shares calls that confirm a list among those who ask at about the same time. One call
 * is in flight at most, and each request is answered by a call that begins after it.
 */
final class Confirmations {

	/** Time in milliseconds after which a request is answered with {@code false}. */
	static final long TIMEOUT_MS = 500;

	/**
	 * Minimum time in milliseconds between the starts of two calls. Takes at most half of
	 * the call budget of a process.
	 */
	static final long MIN_INTERVAL_MS = 100;

	private final TimerService timer;

	private final Supplier<CompletableFuture<Boolean>> call;

	private @Nullable CompletableFuture<Boolean> next;

	private boolean isRunning;

	private long startedMs = Long.MIN_VALUE / 2;

	/**
	 * Creates an instance that makes no calls before {@link #request()}.
	 * @param timer source of time
	 * @param call begins a call; its result must not fail
	 */
	Confirmations(TimerService timer, Supplier<CompletableFuture<Boolean>> call) {
		this.timer = timer;
		this.call = call;
	}

	CompletableFuture<Boolean> request() {
		CompletableFuture<Boolean> result = new CompletableFuture<>();
		CompletableFuture<Boolean> shared = this.next;
		boolean isFirst = shared == null;
		if (shared == null) {
			shared = new CompletableFuture<>();
			this.next = shared;
		}
		shared.thenAccept(result::complete);
		this.timer.schedule(TIMEOUT_MS, () -> result.complete(false));
		if (isFirst && !this.isRunning) {
			scheduleCall();
		}
		return result;
	}

	private void scheduleCall() {
		this.isRunning = true;
		long delayMs = this.startedMs + MIN_INTERVAL_MS - this.timer.nowMs();
		if (delayMs > 0) {
			this.timer.schedule(delayMs, this::start);
		}
		else {
			start();
		}
	}

	private void start() {
		CompletableFuture<Boolean> current = this.next;
		this.next = null;
		this.startedMs = this.timer.nowMs();
		this.call.get().thenAccept((isConfirmed) -> {
			this.isRunning = false;
			if (this.next != null) {
				scheduleCall();
			}
			if (current != null) {
				current.complete(isConfirmed);
			}
		});
	}

}
