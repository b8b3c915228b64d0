package dev.nutmegdoor.core.distribution;

import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import dev.nutmegdoor.core.time.TimerService;

/**
 * Splits long work on the control thread into steps, between which heartbeats and lease
 * renewals run.
 */
public final class ChunkedIteration {

	private ChunkedIteration() {
	}

	/**
	 * Runs a step for each item in order. The first step runs at once, each further one
	 * in a callback of its own.
	 * @param timer runs the callbacks
	 * @param items the items
	 * @param step the step
	 * @param <T> type of the items
	 * @return completes after the last step; fails with what a step throws
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
