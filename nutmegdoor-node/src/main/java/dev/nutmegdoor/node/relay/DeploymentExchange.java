package dev.nutmegdoor.node.relay;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.route.Deployment;
import dev.nutmegdoor.core.route.DeploymentAnswer;
import dev.nutmegdoor.core.route.DeploymentRequest;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Lets an instance that starts while the platform's store is out learn the deployment
 * from another one, and answers those that ask. Runs on the control thread.
 */
final class DeploymentExchange {

	/** Time that the store has to answer a starting instance before others are asked. */
	private static final long STORE_RESPONSE_WAIT_MS = 300;

	private static final long ANSWER_TIMEOUT_MS = 400;

	private final PeerTransport transport;

	private final Deployment deployment;

	private final ConfigurationListener configurations;

	private final TimerService timer;

	private final EventLog events;

	private final Map<InstanceId, InetSocketAddress> seeds = new LinkedHashMap<>();

	/**
	 * Creates the exchange and subscribes to requests.
	 * @param transport messages to other instances
	 * @param deployment receives what is learned
	 * @param configurations takes over configurations, and knows the newest one
	 * @param timer source of time
	 * @param events receives what is learned
	 * @param seeds addresses of other instances
	 * @param self address of this instance
	 */
	DeploymentExchange(PeerTransport transport, Deployment deployment, ConfigurationListener configurations,
			TimerService timer, EventLog events, List<InetSocketAddress> seeds, InetSocketAddress self) {
		this.transport = transport;
		this.deployment = deployment;
		this.configurations = configurations;
		this.timer = timer;
		this.events = events;
		// The names of the instances behind the seeds are not known.
		seeds.stream()
			.filter((seed) -> !seed.equals(self))
			.forEach((seed) -> this.seeds.put(new InstanceId("seed-" + seed.getHostString() + ":" + seed.getPort()),
					seed));
		transport.subscribe(DeploymentRequest.class, (from, request) -> CompletableFuture.completedFuture(
				new DeploymentAnswer(configurations.activeConfiguration(), List.copyOf(deployment.current().upstreams().values()))));
	}

	void start() {
		this.timer.schedule(STORE_RESPONSE_WAIT_MS, this::requestFromSeeds);
	}

	/**
	 * Returns the address of a seed; may be called from any thread.
	 * @param id name under which the seed is asked
	 * @return the address, or {@code null} if the name is none of a seed
	 */
	@Nullable InetSocketAddress addressOf(InstanceId id) {
		return this.seeds.get(id);
	}

	private void requestFromSeeds() {
		if (this.deployment.isKnown() || this.seeds.isEmpty()) {
			return;
		}
		this.seeds.keySet()
			.forEach((seed) -> this.transport
				.request(seed, new DeploymentRequest(), DeploymentAnswer.class, ANSWER_TIMEOUT_MS)
				.thenAccept((answer) -> acceptAnswer(seed, answer)));
		this.timer.schedule(ANSWER_TIMEOUT_MS + STORE_RESPONSE_WAIT_MS, this::requestFromSeeds);
	}

	private void acceptAnswer(InstanceId from, DeploymentAnswer answer) {
		String configuration = answer.configuration();
		if (this.deployment.isKnown() || configuration == null || answer.replicas().isEmpty()) {
			return;
		}
		this.events.record("deployment.learned", "from", from, "replicas", answer.replicas().size());
		this.configurations.accept(configuration, "peer");
		Map<UpstreamId, Upstream> replicas = new HashMap<>();
		answer.replicas().forEach((replica) -> replicas.put(replica.id(), replica));
		this.deployment.accept(replicas);
	}

}
