package dev.nutmegdoor.core.distribution;

import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import dev.nutmegdoor.core.time.TimerService;

/**
 * Splits a long task on the control thread into steps, so that heartbeats and lease
 * renewals can run between them.
 */
public final class ChunkedIteration {

	private ChunkedIteration() {
	}

	/**
	 * Runs a step for each item in order. The first step runs before this method returns,
	 * each further one in a separate callback.
	 * @param timer schedules the callbacks
	 * @param items items to process; must not change until the future completes
	 * @param step processes one item
	 * @param <T> type of the items
	 * @return completes after the last step, or fails with the exception of the first
	 * step that throws one, after which no further step runs
	 */
	public static <T> CompletableFuture<Void> forEach(TimerService timer, List<T> items, Consumer<T> step) {
		CompletableFuture<Void> done = new CompletableFuture<>();
		run(timer, items.iterator(), step, done);
		return done;
	}

	private static <T> void run(TimerService timer, Iterator<T> items, Consumer<T> step, CompletableFuture<Void> done) {
		try {
			if (items.hasNext()) {
				step.accept(items.next());
			}
		}
		catch (RuntimeException ex) {
			done.completeExceptionally(ex);
			return;
		}
		if (items.hasNext()) {
			timer.schedule(0, () -> run(timer, items, step, done));
		}
		else {
			done.complete(null);
		}
	}

}
