package dev.nutmegdoor.node.relay;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.RelayEnd;
import dev.nutmegdoor.core.call.RelayHandle;
import dev.nutmegdoor.core.call.RelayListener;
import dev.nutmegdoor.core.call.RelayOutcome;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.fake.FakeConfigurationView;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.placement.PromptPart;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Modelled engines and services of a workload in their availability zones, on virtual
 * time.
 */
final class ModelledCluster {

	static final String ENGINES = "engines";

	static final String SERVICES = "services";

	final VirtualTimerService timer = new VirtualTimerService(0);

	private final SimulatedDeployment deployment;

	private final Map<UpstreamId, ModelledEngine> engines = new LinkedHashMap<>();

	private final Map<UpstreamId, ModelledService> services = new LinkedHashMap<>();

	private final Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();

	ModelledCluster(SimulatedDeployment deployment) {
		this.deployment = deployment;
		for (int i = 0; i < deployment.engineReplicas(); i++) {
			UpstreamId id = add("engine-" + i, i % deployment.zones(), ENGINES, deployment.engineSlots());
			this.engines.put(id, engine(id));
		}
		for (int i = 0; i < deployment.serviceReplicas(); i++) {
			UpstreamId id = add("service-" + i, i % deployment.zones(), SERVICES, ModelledService.MAX_CONCURRENT_CALLS);
			this.services.put(id, service(id));
		}
	}

	private ModelledEngine engine(UpstreamId id) {
		UnevenSpeeds speeds = this.deployment.unevenSpeeds();
		return new ModelledEngine(this.timer, this.deployment.engineSlots(), this.deployment.cacheTokens(),
				this.deployment.engineTimes(), (timeMs) -> (speeds != null) ? speeds.factor(id.value(), timeMs) : 1,
				(timeMs) -> workPercent(id, timeMs));
	}

	private ModelledService service(UpstreamId id) {
		UnevenSpeeds speeds = this.deployment.unevenSpeeds();
		return new ModelledService(this.timer,
				(workMs) -> (speeds != null) ? speeds.durationMs(id.value(), this.timer.nowMs(), workMs) : workMs,
				(timeMs) -> workPercent(id, timeMs));
	}

	private @Nullable Integer workPercent(UpstreamId id, double timeMs) {
		UnevenSpeeds speeds = this.deployment.unevenSpeeds();
		return (speeds != null && this.deployment.statesWorkTime()) ? speeds.workPercent(id.value(), timeMs) : null;
	}

	private UpstreamId add(String name, int zone, String service, int maxConcurrentCalls) {
		UpstreamId id = new UpstreamId(name);
		this.upstreams.put(id, new Upstream(id, UpstreamKind.SERVICE, zone(zone), "10.0.0.1", 1, List.of(service),
				maxConcurrentCalls, false, false));
		return id;
	}

	/**
	 * Returns the availability zone of an instance or replica.
	 * @param index index of the instance or replica
	 * @return zone; indexes are assigned to the zones in turn
	 */
	AvailabilityZone zone(int index) {
		return new AvailabilityZone("z" + index % this.deployment.zones());
	}

	FakeConfigurationView configuration() {
		return new FakeConfigurationView(new Configuration(1, Map.of(), Map.of(), Map.of(), Map.of(), this.upstreams));
	}

	List<Upstream> replicasOf(String service) {
		return this.upstreams.values().stream().filter((upstream) -> upstream.serves().contains(service)).toList();
	}

	List<UpstreamId> replicas() {
		return List.copyOf(this.upstreams.keySet());
	}

	long readTokens() {
		return this.engines.values().stream().mapToLong(ModelledEngine::readTokens).sum();
	}

	RelayEnd.ReportedLoad load(UpstreamId id) {
		ModelledEngine engine = this.engines.get(id);
		ModelledService service = this.services.get(id);
		if (engine != null) {
			return engine.load();
		}
		if (service == null) {
			throw new IllegalStateException("no model of " + id);
		}
		return service.load();
	}

	/**
	 * Sends a request to a replica.
	 * @param instance index of the sending instance
	 * @param upstream replica that receives the request
	 * @param prompt prompt of a turn, empty for a call of a tool
	 * @param tokens number of tokens that the turn generates
	 * @param workMs processing time of a call of a tool in milliseconds
	 * @param listener receives the start and end of the response
	 * @return handle after whose call the listener receives nothing more
	 */
	RelayHandle send(int instance, Upstream upstream, List<PromptPart> prompt, int tokens, int workMs,
			RelayListener listener) {
		boolean isSameZone = upstream.availabilityZone().equals(zone(instance));
		long latencyMs = isSameZone ? 0 : Math.round(this.deployment.crossingMs());
		Response response = new Response(upstream.id(), latencyMs, tokens, listener);
		this.timer.schedule(latencyMs, () -> {
			ModelledEngine engine = this.engines.get(upstream.id());
			ModelledService service = this.services.get(upstream.id());
			if (engine != null) {
				engine.submit(prompt, tokens, response::start, response::end);
			}
			else if (service != null) {
				service.submit(workMs, () -> {
					response.start();
					response.end();
				});
			}
		});
		return (reason) -> response.isCancelled = true;
	}

	/**
	 * Response of a replica, which reaches the instance after the network latency. Its
	 * header reports the load of the replica at the start of the response.
	 */
	private final class Response {

		private final UpstreamId replica;

		private final long latencyMs;

		private final int tokens;

		private final RelayListener listener;

		private boolean isCancelled;

		private Response(UpstreamId replica, long latencyMs, int tokens, RelayListener listener) {
			this.replica = replica;
			this.latencyMs = latencyMs;
			this.tokens = tokens;
			this.listener = listener;
		}

		private void start() {
			RelayEnd.ReportedLoad load = load(this.replica);
			deliver(() -> this.listener.answerStarted(load));
		}

		private void end() {
			deliver(() -> this.listener
				.ended(new RelayEnd(RelayOutcome.ANSWERED, 200, this.tokens, null, "status 200")));
		}

		private void deliver(Runnable event) {
			ModelledCluster.this.timer.schedule(this.latencyMs, () -> {
				if (!this.isCancelled) {
					event.run();
				}
			});
		}

	}

}
