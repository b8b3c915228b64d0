package dev.nutmegdoor.core.program;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.upstream.EngineClient;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;
import dev.nutmegdoor.core.upstream.TokenListener;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * Engine client that records in the program's log that an engine may cache a prefix of
 * the program, before the engine receives the request. A new owner can therefore release
 * the caches of all engines.
 */
final class PlacementRecordingEngineClient implements EngineClient {

	private final EngineClient delegate;

	private final PartitionController controller;

	private final ProgramLifecycle lifecycle;

	PlacementRecordingEngineClient(EngineClient delegate, PartitionController controller, ProgramLifecycle lifecycle) {
		this.delegate = delegate;
		this.controller = controller;
		this.lifecycle = lifecycle;
	}

	@Override
	public CompletableFuture<EngineResult> generate(Upstream upstream, EngineRequest request, TokenListener listener) {
		ProgramId program = request.program();
		if (program == null) {
			return this.delegate.generate(upstream, request, listener);
		}
		return recordPlacementThen(upstream, program, () -> this.delegate.generate(upstream, request, listener)
			.whenComplete((result, error) -> releaseIfOrphaned(upstream, program)));
	}

	private <T> CompletableFuture<T> recordPlacementThen(Upstream upstream, ProgramId program,
			Supplier<CompletableFuture<T>> action) {
		ProgramState state = programState(program);
		PartitionHome home = this.controller.servedHome(program.partitionName());
		if (home == null || state == null || state.closed() != null) {
			return notOwner(program);
		}
		if (state.upstreams().contains(upstream.id())) {
			return action.get();
		}
		return home.append(program, EntryType.TURN_PLACED, new PlacedBody(upstream.id()), false)
			.handle((entry, error) -> (error == null && state.closed() == null) ? action.get()
					: PlacementRecordingEngineClient.<T>notOwner(program))
			.thenCompose((future) -> future);
	}

	private void releaseIfOrphaned(Upstream upstream, ProgramId program) {
		ProgramState state = programState(program);
		if (state == null || state.isReleased()) {
			this.lifecycle.releaseOrphaned(upstream.id(), program);
		}
	}

	private @Nullable ProgramState programState(ProgramId program) {
		PartitionHome home = this.controller.servedHome(program.partitionName());
		return (home != null) ? home.program(program) : null;
	}

	private static <T> CompletableFuture<T> notOwner(ProgramId program) {
		return CompletableFuture
			.failedFuture(new UpstreamException(RunState.NOT_RUN, "program " + program + " is not served here"));
	}

	@Override
	public CompletableFuture<Void> cancel(Upstream upstream, String streamId) {
		return this.delegate.cancel(upstream, streamId);
	}

	@Override
	public CompletableFuture<Void> release(Upstream upstream, ProgramId program) {
		return this.delegate.release(upstream, program);
	}

	@Override
	public CompletableFuture<Integer> copyCache(Upstream source, Upstream copyTarget, ProgramId program) {
		return recordPlacementThen(copyTarget, program, () -> this.delegate.copyCache(source, copyTarget, program)
			.whenComplete((tokens, error) -> releaseIfOrphaned(copyTarget, program)));
	}

	@Override
	public CompletableFuture<Void> loadModel(Upstream upstream, String model, long fencingNumber, long timeoutMs) {
		return this.delegate.loadModel(upstream, model, fencingNumber, timeoutMs);
	}

}
