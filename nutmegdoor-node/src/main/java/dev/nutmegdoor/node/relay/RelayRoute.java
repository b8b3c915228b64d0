package dev.nutmegdoor.node.relay;

import java.time.Duration;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.RelayedCall;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.limit.RequestStage;
import dev.nutmegdoor.core.route.RequestMetadata;
import dev.nutmegdoor.core.route.RoutedService;
import dev.nutmegdoor.core.route.ServiceRoute;
import dev.nutmegdoor.node.entry.BodyReader;
import dev.nutmegdoor.node.entry.ControlBridge;
import dev.nutmegdoor.node.entry.Exchange;
import dev.nutmegdoor.node.entry.Route;
import dev.nutmegdoor.node.entry.RoutedRequest;

/**
 * Hands routed requests to the scheduler and answers with what the replica answers.
 */
final class RelayRoute implements Route {

	/** Workspace under which requests of public routes are queued. */
	private static final WorkspaceId PUBLIC = new WorkspaceId("public");

	private static final KeyId NO_KEY = new KeyId("none");

	/**
	 * Shortest time in milliseconds in which an engine answers: one prefill and a step.
	 */
	private static final double MIN_ENGINE_MS = 35;

	private static final double MIN_SERVICE_MS = 1;

	/** Part of the most tokens of an answer that answers have on average. */
	private static final int USUAL_PART = 4;

	private final CallRunner runner;

	private final UpstreamPool pool;

	private final ControlBridge control;

	private final UniformRandomProvider random;

	private final EventLog events;

	/**
	 * Creates the route.
	 * @param runner scheduler of the calls
	 * @param pool connections to replicas
	 * @param control way to the control thread
	 * @param random draws the service of routes that are divided; used on the event loop
	 * @param events receives each send
	 */
	RelayRoute(CallRunner runner, UpstreamPool pool, ControlBridge control, UniformRandomProvider random,
			EventLog events) {
		this.runner = runner;
		this.pool = pool;
		this.control = control;
		this.random = random;
		this.events = events;
	}

	@Override
	public boolean matches(String method, String path) {
		return true;
	}

	@Override
	public Mono<Void> run(Exchange exchange) {
		RoutedRequest routed = exchange.routed();
		return BodyReader
			.readBytes(exchange, routed.table().limits().maxBodyBytes(), Duration.ofMillis(routed.timeoutMs()))
			.flatMap((body) -> relay(exchange, routed, body));
	}

	private Mono<Void> relay(Exchange exchange, RoutedRequest routed, byte[] body) {
		ServiceRoute route = routed.route();
		String serviceName = route.selectService(this.random.nextDouble());
		RoutedService service = routed.table().service(serviceName);
		int tokensPerEvent = (service != null && route.kind().isStream()) ? service.tokensPerEvent() : 0;
		RelayResponse answer = new RelayResponse(exchange);
		RelayTransfer transfer = new RelayTransfer(exchange, body, answer, this.pool, this.control, this.events,
				tokensPerEvent);
		CallRequest request = request(exchange, routed, serviceName, transfer);
		RelayOutcomes outcomes = new RelayOutcomes(exchange, answer, this.pool.eventLoop(), this.control);
		CallHandle[] handle = new CallHandle[1];
		exchange.relayed();
		this.control.execute(() -> handle[0] = this.runner.run(request, outcomes));
		return answer.respond().doOnCancel(() -> this.control.execute(() -> {
			if (handle[0] != null) {
				handle[0].cancel();
			}
		}));
	}

	private static int expectedTokens(RequestMetadata facts) {
		int expected = (facts.expectedAnswerTokens() > 0) ? facts.expectedAnswerTokens()
				: facts.maxAnswerTokens() / USUAL_PART;
		return Math.max(1, Math.min(expected, facts.maxAnswerTokens()));
	}

	private static CallRequest request(Exchange exchange, RoutedRequest routed, String service,
			RelayTransfer transfer) {
		ServiceRoute route = routed.route();
		RequestMetadata facts = routed.facts();
		WorkspaceId workspace = exchange.workspaceOrNull();
		boolean isEngine = route.kind().isStream();
		RelayedCall call = new RelayedCall(service, route.kind().repeatability(), route.kind().isInterruptible(),
				route.maxReplicas(), isEngine ? facts.prompt() : List.of(), isEngine ? facts.maxAnswerTokens() : 0,
				isEngine ? expectedTokens(facts) : 0, exchange.reservation().stage() == RequestStage.OPENING,
				exchange.programOrNull(), facts.finishMs(), routed.table().priorityOf(route, workspace),
				isEngine ? MIN_ENGINE_MS : MIN_SERVICE_MS, transfer);
		long timeLeftMs = Math.max(1, routed.timeoutMs() - exchange.elapsedMs());
		return new CallRequest(exchange.decision(), (workspace != null) ? workspace : PUBLIC,
				(workspace != null) ? exchange.key() : NO_KEY, null, 0, route.name(), call, timeLeftMs);
	}

}
