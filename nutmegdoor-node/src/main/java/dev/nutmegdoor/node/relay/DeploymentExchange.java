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
import dev.nutmegdoor.core.ledger.LedgerMembers;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.route.Deployment;
import dev.nutmegdoor.core.route.DeploymentAnswer;
import dev.nutmegdoor.core.route.DeploymentRequest;
import dev.nutmegdoor.core.route.EvacuatedZones;
import dev.nutmegdoor.core.route.RouteTable;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Requests the deployment from other instances if this one starts while the platform's
 * store is unavailable, and answers such requests of others. Runs on the control thread.
 */
final class DeploymentExchange {

	/** Time to wait for the store at startup before other instances are queried. */
	private static final long STORE_RESPONSE_WAIT_MS = 300;

	private static final long ANSWER_TIMEOUT_MS = 400;

	private final PeerTransport transport;

	private final Deployment deployment;

	private final LedgerMembers ledgerMembers;

	private final ConfigurationListener configurations;

	private final TimerService timer;

	private final EventLog events;

	private final Map<InstanceId, InetSocketAddress> seeds = new LinkedHashMap<>();

	/**
	 * Creates the exchange and subscribes to requests.
	 * @param transport transport to other instances
	 * @param deployment receives the replicas
	 * @param ledgerMembers receives the replicas of the token ledger
	 * @param configurations applies received configurations and supplies the active one
	 * @param timer schedules the requests
	 * @param events log of events
	 * @param seeds addresses of other instances; may include that of this instance
	 * @param self address of this instance, to which no request is sent
	 */
	DeploymentExchange(PeerTransport transport, Deployment deployment, LedgerMembers ledgerMembers,
			ConfigurationListener configurations, TimerService timer, EventLog events, List<InetSocketAddress> seeds,
			InetSocketAddress self) {
		this.transport = transport;
		this.deployment = deployment;
		this.ledgerMembers = ledgerMembers;
		this.configurations = configurations;
		this.timer = timer;
		this.events = events;
		// The instance identifiers behind the seed addresses are unknown.
		seeds.stream()
			.filter((seed) -> !seed.equals(self))
			.forEach((seed) -> this.seeds.put(new InstanceId("seed-" + seed.getHostString() + ":" + seed.getPort()),
					seed));
		transport.subscribe(DeploymentRequest.class,
				(from, request) -> CompletableFuture.completedFuture(
						new DeploymentAnswer(configurations.activeConfiguration(), deployment.listedReplicas(),
								List.copyOf(ledgerMembers.all()), deployment.confirmedEvacuations())));
	}

	void start() {
		this.timer.schedule(STORE_RESPONSE_WAIT_MS, this::requestFromSeeds);
	}

	/**
	 * Returns whether the instance can serve all routes. May be called from any thread.
	 * @return {@code true} once a configuration, a list of replicas and, if a route needs
	 * it, a replica of the token ledger are known
	 */
	boolean isComplete() {
		RouteTable routes = this.deployment.routes();
		return this.deployment.isReadyToRoute() && routes != null
				&& (!routes.hasProgramRoutes() || !this.ledgerMembers.all().isEmpty());
	}

	/**
	 * Returns the address of a seed; may be called from any thread.
	 * @param id identifier that this exchange assigned to the seed
	 * @return the address, or {@code null} if the identifier is not that of a seed
	 */
	@Nullable InetSocketAddress addressOf(InstanceId id) {
		return this.seeds.get(id);
	}

	private void requestFromSeeds() {
		if (isComplete() || this.seeds.isEmpty()) {
			return;
		}
		this.seeds.keySet()
			.forEach((seed) -> this.transport
				.request(seed, new DeploymentRequest(), DeploymentAnswer.class, ANSWER_TIMEOUT_MS)
				.thenAccept((answer) -> acceptAnswer(seed, answer)));
		this.timer.schedule(ANSWER_TIMEOUT_MS + STORE_RESPONSE_WAIT_MS, this::requestFromSeeds);
	}

	private void acceptAnswer(InstanceId from, DeploymentAnswer answer) {
		answer.ledgerReplicas().forEach(this.ledgerMembers::add);
		EvacuatedZones evacuations = answer.evacuations();
		if (evacuations != null) {
			this.deployment.accept(evacuations, from.value());
		}
		String configuration = answer.configuration();
		if (this.deployment.isReadyToRoute() || configuration == null || answer.replicas().isEmpty()) {
			return;
		}
		this.events.record("deployment.learned", "from", from, "replicas", answer.replicas().size());
		this.configurations.accept(configuration, "peer");
		Map<UpstreamId, Upstream> replicas = new HashMap<>();
		answer.replicas().forEach((replica) -> replicas.put(replica.id(), replica));
		this.deployment.accept(replicas);
	}

}
