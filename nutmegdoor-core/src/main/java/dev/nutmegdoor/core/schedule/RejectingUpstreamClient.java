package dev.nutmegdoor.core.schedule;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.upstream.EngineClient;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;
import dev.nutmegdoor.core.upstream.ServiceClient;
import dev.nutmegdoor.core.upstream.ServiceResponse;
import dev.nutmegdoor.core.upstream.TokenListener;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * Rejects each call with an {@link UpstreamException} that states that it was not run.
 */
final class RejectingUpstreamClient implements EngineClient, ServiceClient {

	static final RejectingUpstreamClient INSTANCE = new RejectingUpstreamClient();

	private RejectingUpstreamClient() {
	}

	@Override
	public CompletableFuture<EngineResult> generate(Upstream upstream, EngineRequest request, TokenListener listener) {
		return rejected();
	}

	@Override
	public CompletableFuture<Void> cancel(Upstream upstream, String streamId) {
		return rejected();
	}

	@Override
	public CompletableFuture<Void> release(Upstream upstream, ProgramId program) {
		return rejected();
	}

	@Override
	public CompletableFuture<Integer> copyCache(Upstream source, Upstream target, ProgramId program) {
		return rejected();
	}

	@Override
	public CompletableFuture<Void> loadModel(Upstream upstream, String model, long fencingNumber, long timeoutMs) {
		return rejected();
	}

	@Override
	public CompletableFuture<ServiceResponse> call(Upstream upstream, ServiceCall call, long timeoutMs) {
		return rejected();
	}

	@Override
	public CompletableFuture<ServiceResponse> query(Upstream upstream, ServiceCall call, long timeoutMs) {
		return rejected();
	}

	private static <T> CompletableFuture<T> rejected() {
		return CompletableFuture
			.failedFuture(new UpstreamException(RunState.NOT_RUN, "this instance only relays requests"));
	}

}
