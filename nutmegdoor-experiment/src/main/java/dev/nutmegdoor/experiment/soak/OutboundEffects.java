package dev.nutmegdoor.experiment.soak;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import dev.nutmegdoor.core.fake.FakeHost;

/**
 * Effects of a simulated instance on the outside: delayed while it is paused, dropped
 * after it crashed.
 */
final class OutboundEffects {

	private OutboundEffects() {
	}

	static void run(FakeHost host, Runnable effect) {
		if (host.isPaused()) {
			host.run(effect);
		}
		else if (!host.isCrashed()) {
			effect.run();
		}
	}

	static <T> CompletableFuture<T> call(FakeHost host, Supplier<CompletableFuture<T>> effect) {
		CompletableFuture<T> result = new CompletableFuture<>();
		run(host, () -> effect.get().whenComplete((value, error) -> {
			if (error != null) {
				result.completeExceptionally(error);
			}
			else {
				result.complete(value);
			}
		}));
		return result;
	}

}
