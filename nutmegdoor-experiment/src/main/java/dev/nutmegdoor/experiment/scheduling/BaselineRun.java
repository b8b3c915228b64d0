package dev.nutmegdoor.experiment.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;

/**
 * Baselines: calls go to an engine at once and wait there in arrival order. A failed call
 * goes to another engine, and an engine that failed is left out for five seconds.
 */
final class BaselineRun implements PolicyRun {

	private static final long DEAD_MS = 5_000;

	private static final int MAX_ATTEMPTS = 3;

	private final SimulatedCluster cluster;

	private final BaselineChoice choice;

	private final List<SimulatedEngineClient> clients = new ArrayList<>();

	private final Map<UpstreamId, Integer> inFlight = new HashMap<>();

	private final Map<String, Long> deadUntilMs = new HashMap<>();

	private final int[] turns = new int[Deployment.INSTANCES];

	BaselineRun(SimulatedCluster cluster, BaselineChoice choice) {
		this.cluster = cluster;
		this.choice = choice;
		for (int i = 0; i < Deployment.INSTANCES; i++) {
			this.clients.add(new SimulatedEngineClient(cluster, i % Deployment.ZONES));
		}
	}

	@Override
	public CallRunner runnerOf(ProgramId root) {
		int instance = Math.floorMod(root.hashCode(), Deployment.INSTANCES);
		return (request, listener) -> run(instance, request, listener);
	}

	@Override
	public void programEnded(ProgramId root, ProgramId program) {
		int instance = Math.floorMod(root.hashCode(), Deployment.INSTANCES);
		this.cluster.upstreams().forEach((upstream) -> this.clients.get(instance).release(upstream, program));
	}

	@Override
	public long controlMessages() {
		return 0;
	}

	int nextTurn(int instance) {
		return this.turns[instance]++;
	}

	int inFlight(UpstreamId id) {
		return this.inFlight.getOrDefault(id, 0);
	}

	private CallHandle run(int instance, CallRequest request, CallListener listener) {
		send(instance, request, listener, 1, this.cluster.timer.nowMs() + request.timeoutMs());
		return () -> {
		};
	}

	private void send(int instance, CallRequest request, CallListener listener, int attempt, long deadlineMs) {
		ProgramId program = request.program();
		if (program == null || !(request.payload() instanceof ModelCall call)) {
			throw new IllegalArgumentException("baselines run model calls of programs only");
		}
		Upstream upstream = this.choice.choose(this, instance, program, live(instance));
		this.inFlight.merge(upstream.id(), 1, Integer::sum);
		String streamId = request.decision() + "-" + attempt;
		EngineRequest engineRequest = new EngineRequest(streamId, call.model(), program, call.messagesJson(), List.of(),
				call.promptTokens(), call.maxTokens(), 0);
		SimulatedEngineClient client = this.clients.get(instance);
		var deadline = this.cluster.timer.schedule(Math.max(1, deadlineMs - this.cluster.timer.nowMs()),
				() -> client.cancel(upstream, streamId));
		client.generate(upstream, engineRequest, (offset, text, tokens) -> listener.generated(offset, text))
			.whenComplete((result, failure) -> {
				deadline.cancel();
				this.inFlight.merge(upstream.id(), -1, Integer::sum);
				ended(instance, request, listener, attempt, deadlineMs, upstream, result);
			});
	}

	private void ended(int instance, CallRequest request, CallListener listener, int attempt, long deadlineMs,
			Upstream upstream, @Nullable EngineResult result) {
		if (result != null) {
			listener.completed(new CallResult(upstream.id(), 200, "", result.promptTokens(), result.cachedTokens(),
					result.generatedTokens()));
			return;
		}
		long nowMs = this.cluster.timer.nowMs();
		if (nowMs >= deadlineMs || attempt == MAX_ATTEMPTS) {
			listener.refused(new Refusal(RefusalReason.DEADLINE_EXCEEDED, RunState.UNKNOWN, "no answer", 1_000));
			return;
		}
		this.deadUntilMs.put(instance + "/" + upstream.id(), nowMs + DEAD_MS);
		send(instance, request, listener, attempt + 1, deadlineMs);
	}

	private List<Upstream> live(int instance) {
		List<Upstream> live = new ArrayList<>(this.cluster.upstreams());
		live.removeIf((upstream) -> this.deadUntilMs.getOrDefault(instance + "/" + upstream.id(),
				Long.MIN_VALUE) > this.cluster.timer.nowMs());
		return live.isEmpty() ? this.cluster.upstreams() : live;
	}

}
