package dev.nutmegdoor.node.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

import dev.nutmegdoor.core.time.TimerService;

/**
 * Passage from the event loop of a connection to the control thread and back.
 */
public final class ControlBridge {

	private final TimerService timers;

	public ControlBridge(TimerService timers) {
		this.timers = timers;
	}

	/**
	 * Runs a task on the control thread.
	 * @param task the task
	 */
	public void execute(Runnable task) {
		this.timers.schedule(0, task);
	}

	public TimerService timers() {
		return this.timers;
	}

	/**
	 * Calls an operation on the control thread.
	 * @param exchange request on whose event loop the result arrives
	 * @param operation the operation
	 * @param <T> type of the result
	 * @return the result
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
