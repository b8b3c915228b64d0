package dev.nutmegdoor.experiment.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.upstream.EngineClient;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;
import dev.nutmegdoor.core.upstream.TokenListener;
import dev.nutmegdoor.core.upstream.UpstreamException;
import dev.nutmegdoor.standin.engine.CachedPrefix;

/**
 * Client of one instance to the modelled engines. The whole round trip is charged to the
 * request, so that each token needs only one event.
 */
final class SimulatedEngineClient implements EngineClient {

	/** Time after which a connection attempt to a dead engine fails. */
	private static final int CONNECT_FAILURE_MS = 50;

	private final SimulatedCluster cluster;

	private final int zone;

	private final Map<String, OpenStream> open = new LinkedHashMap<>();

	SimulatedEngineClient(SimulatedCluster cluster, int zone) {
		this.cluster = cluster;
		this.zone = zone;
		cluster.clients.add(this);
	}

	@Override
	public CompletableFuture<EngineResult> generate(Upstream upstream, EngineRequest request, TokenListener listener) {
		CompletableFuture<EngineResult> future = new CompletableFuture<>();
		if (!this.cluster.isReachable(this.zone, upstream)) {
			this.cluster.timer.schedule(CONNECT_FAILURE_MS, () -> future
				.completeExceptionally(new UpstreamException(RunState.NOT_RUN, upstream.id() + " is unreachable")));
			return future;
		}
		this.open.put(request.streamId(), new OpenStream(upstream, future));
		this.cluster.timer.schedule(roundTripMs(upstream), () -> {
			if (future.isDone()) {
				return;
			}
			if (!this.cluster.isReachable(this.zone, upstream)) {
				this.open.remove(request.streamId());
				future.completeExceptionally(
						new UpstreamException(RunState.UNKNOWN, upstream.id() + " broke the connection"));
				return;
			}
			this.cluster.engine(upstream.id()).submit(request, listener).whenComplete((result, failure) -> {
				this.open.remove(request.streamId());
				if (failure == null) {
					future.complete(result);
				}
				else {
					future.completeExceptionally(failure);
				}
			});
		});
		return future;
	}

	@Override
	public CompletableFuture<Void> cancel(Upstream upstream, String streamId) {
		OpenStream stream = this.open.remove(streamId);
		this.cluster.engine(upstream.id()).cancel(streamId);
		if (stream != null) {
			stream.future.completeExceptionally(new UpstreamException(RunState.RAN, "cancelled"));
		}
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<Void> release(Upstream upstream, ProgramId program) {
		if (!this.cluster.isReachable(this.zone, upstream)) {
			return CompletableFuture.failedFuture(new UpstreamException(RunState.NOT_RUN, "unreachable"));
		}
		this.cluster.engine(upstream.id()).release(program);
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<Integer> copyCache(Upstream source, Upstream target, ProgramId program) {
		CompletableFuture<Integer> future = new CompletableFuture<>();
		CachedPrefix prefix = this.cluster.engine(source.id()).exportPrefix(program);
		if (prefix == null || !this.cluster.isReachable(this.zone, source)
				|| !this.cluster.isReachable(this.zone, target)) {
			return CompletableFuture.failedFuture(new UpstreamException(RunState.NOT_RUN, "no prefix to copy"));
		}
		this.cluster.timer.schedule(roundTripMs(source) + roundTripMs(target),
				() -> this.cluster.engine(target.id()).importPrefix(prefix).thenAccept(future::complete));
		return future;
	}

	@Override
	public CompletableFuture<Void> loadModel(Upstream upstream, String model, long fencingNumber, long timeoutMs) {
		return this.cluster.engine(upstream.id()).loadModel(model, fencingNumber);
	}

	void breakUnreachable() {
		for (Map.Entry<String, OpenStream> entry : new ArrayList<>(this.open.entrySet())) {
			OpenStream stream = entry.getValue();
			if (!this.cluster.isReachable(this.zone, stream.upstream)) {
				this.open.remove(entry.getKey());
				this.cluster.engine(stream.upstream.id()).cancel(entry.getKey());
				stream.future.completeExceptionally(new UpstreamException(RunState.UNKNOWN, "zone was cut off"));
			}
		}
	}

	private long roundTripMs(Upstream upstream) {
		boolean isCrossing = this.zone >= 0 && !upstream.availabilityZone().equals(SimulatedCluster.zone(this.zone));
		return 1L + (isCrossing ? this.cluster.deployment.zoneCrossingMs() : 0);
	}

	private record OpenStream(Upstream upstream, CompletableFuture<EngineResult> future) {

	}

}
