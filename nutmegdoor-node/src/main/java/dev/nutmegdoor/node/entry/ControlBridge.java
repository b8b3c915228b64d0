package dev.nutmegdoor.node.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

import dev.nutmegdoor.core.time.TimerService;

/**
 * Runs operations on the control thread and returns their results to the event loop of a
 * connection.
 */
public final class ControlBridge {

	private final TimerService timers;

	public ControlBridge(TimerService timers) {
		this.timers = timers;
	}

	/**
	 * Schedules a task on the control thread without waiting for it.
	 * @param task task to run
	 */
	public void execute(Runnable task) {
		this.timers.schedule(0, task);
	}

	public TimerService timers() {
		return this.timers;
	}

	/**
	 * Calls an operation on the control thread on each subscription.
	 * @param exchange request on whose event loop the result is published
	 * @param operation operation to call
	 * @param <T> type of the result
	 * @return the result or the failure of the operation, without a wrapping
	 * {@link CompletionException}
	 */
	public <T> Mono<T> call(Exchange exchange, Supplier<CompletableFuture<T>> operation) {
		return Mono.<T>create((sink) -> execute(() -> {
			try {
				operation.get().whenComplete((value, error) -> {
					if (error != null) {
						sink.error((error instanceof CompletionException && error.getCause() != null) ? error.getCause()
								: error);
					}
					else {
						sink.success(value);
					}
				});
			}
			catch (RuntimeException ex) {
				sink.error(ex);
			}
		})).publishOn(Schedulers.fromExecutor(exchange.channel().eventLoop()));
	}

}
