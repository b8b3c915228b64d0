package dev.nutmegdoor.core.schedule;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.upstream.EngineClient;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;
import dev.nutmegdoor.core.upstream.ServiceClient;
import dev.nutmegdoor.core.upstream.ServiceResponse;
import dev.nutmegdoor.core.upstream.TokenListener;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * Upstreams whose calls a test completes explicitly. Cancelling a stream fails its future
 * before {@code cancel} returns.
 */
final class ManualUpstreams implements EngineClient, ServiceClient {

	final List<UpstreamId> sentTo = new ArrayList<>();

	private final List<String> sentStreams = new ArrayList<>();

	private final Map<String, CompletableFuture<EngineResult>> streams = new LinkedHashMap<>();

	private final List<CompletableFuture<ServiceResponse>> serviceCalls = new ArrayList<>();

	void complete(int index) {
		if (!this.serviceCalls.isEmpty()) {
			this.serviceCalls.get(index).complete(new ServiceResponse(200, "{}"));
			return;
		}
		String streamId = new ArrayList<>(this.streams.keySet()).get(index);
		this.streams.remove(streamId).complete(new EngineResult("x", 100, 0, 10));
	}

	void fail(int index) {
		this.serviceCalls.get(index).completeExceptionally(new UpstreamException(RunState.UNKNOWN, "reset"));
	}

	List<String> sentPrograms() {
		return this.sentStreams.stream().map((id) -> id.substring(0, id.indexOf('-'))).toList();
	}

	@Override
	public CompletableFuture<EngineResult> generate(Upstream upstream, EngineRequest request, TokenListener listener) {
		CompletableFuture<EngineResult> future = new CompletableFuture<>();
		this.sentTo.add(upstream.id());
		this.sentStreams.add(request.streamId());
		this.streams.put(request.streamId(), future);
		return future;
	}

	@Override
	public CompletableFuture<Void> cancel(Upstream upstream, String streamId) {
		CompletableFuture<EngineResult> future = this.streams.remove(streamId);
		if (future != null) {
			future.completeExceptionally(new UpstreamException(RunState.RAN, "cancelled"));
		}
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<Void> release(Upstream upstream, ProgramId program) {
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<Integer> copyCache(Upstream source, Upstream target, ProgramId program) {
		return CompletableFuture.completedFuture(0);
	}

	@Override
	public CompletableFuture<Void> loadModel(Upstream upstream, String model, long fencingNumber, long timeoutMs) {
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<ServiceResponse> call(Upstream upstream, ServiceCall call, long timeoutMs) {
		CompletableFuture<ServiceResponse> future = new CompletableFuture<>();
		this.sentTo.add(upstream.id());
		this.serviceCalls.add(future);
		return future;
	}

	@Override
	public CompletableFuture<ServiceResponse> query(Upstream upstream, ServiceCall call, long timeoutMs) {
		return CompletableFuture.completedFuture(new ServiceResponse(404, ""));
	}

}
