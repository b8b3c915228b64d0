package dev.nutmegdoor.standin.engine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * Models in the memory of an engine, and the highest fencing number that it has seen.
 */
final class LoadedModels {

	private final EngineSettings settings;

	private final TimerService timer;

	private final Set<String> models;

	private long highestFencingNumber;

	LoadedModels(EngineSettings settings, TimerService timer) {
		this.settings = settings;
		this.timer = timer;
		this.models = new LinkedHashSet<>(settings.models());
	}

	boolean contains(String model) {
		return this.models.contains(model);
	}

	List<String> names() {
		return List.copyOf(this.models);
	}

	CompletableFuture<Void> load(String model, long fencingNumber) {
		if (this.settings.isFencingChecked() && fencingNumber < this.highestFencingNumber) {
			return CompletableFuture.failedFuture(new UpstreamException(RunState.NOT_RUN,
					"fencing number " + fencingNumber + " is older than " + this.highestFencingNumber));
		}
		this.highestFencingNumber = Math.max(this.highestFencingNumber, fencingNumber);
		CompletableFuture<Void> future = new CompletableFuture<>();
		this.timer.schedule(this.settings.modelLoadMs(), () -> {
			if (this.models.add(model) && this.models.size() > this.settings.maxModels()) {
				this.models.remove(this.models.iterator().next());
			}
			future.complete(null);
		});
		return future;
	}

}
