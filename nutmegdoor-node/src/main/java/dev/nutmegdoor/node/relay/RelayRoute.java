package dev.nutmegdoor.node.relay;

import java.time.Duration;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RelayedCall;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.limit.RequestStage;
import dev.nutmegdoor.core.quarantine.RequestFingerprint;
import dev.nutmegdoor.core.quarantine.RequestQuarantine;
import dev.nutmegdoor.core.route.RequestMetadata;
import dev.nutmegdoor.core.route.RoutedService;
import dev.nutmegdoor.core.route.ServiceRoute;
import dev.nutmegdoor.node.entry.BodyReader;
import dev.nutmegdoor.node.entry.ControlBridge;
import dev.nutmegdoor.node.entry.Exchange;
import dev.nutmegdoor.node.entry.Route;
import dev.nutmegdoor.node.entry.RoutedRequest;

/**
 * Submits routed requests to the scheduler and responds with the response of the replica.
 */
final class RelayRoute implements Route {

	/** Workspace in whose queue requests to public routes wait. */
	private static final WorkspaceId PUBLIC_WORKSPACE = new WorkspaceId("public");

	private static final KeyId NO_KEY = new KeyId("none");

	/**
	 * Minimum response time of an engine in milliseconds: one prefill and one step.
	 */
	private static final double MIN_ENGINE_MS = 35;

	private static final double MIN_SERVICE_MS = 1;

	/** Ratio of the maximum to the average number of tokens of a response. */
	private static final int MAX_TO_EXPECTED_RATIO = 4;

	private final CallRunner runner;

	private final UpstreamPool pool;

	private final ControlBridge control;

	private final UniformRandomProvider random;

	private final EventLog events;

	private final RequestQuarantine quarantine;

	private final CrashWatch crashWatch;

	/**
	 * Creates the route.
	 * @param runner schedules the calls
	 * @param pool connections to replicas
	 * @param control runs tasks on the control thread
	 * @param random selects the service of a route that is split among several; used on
	 * the event loop
	 * @param events receives an event for each send
	 * @param quarantine knows the requests that must not be sent; used on the control
	 * thread
	 */
	RelayRoute(CallRunner runner, UpstreamPool pool, ControlBridge control, UniformRandomProvider random,
			EventLog events, RequestQuarantine quarantine) {
		this.runner = runner;
		this.pool = pool;
		this.control = control;
		this.random = random;
		this.events = events;
		this.quarantine = quarantine;
		this.crashWatch = new CrashWatch(pool, quarantine, control);
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
		RelayResponse response = new RelayResponse(exchange);
		RequestFingerprint fingerprint = RequestFingerprint.of(exchange.method(), exchange.path(),
				exchange.request().uri(), exchange.workspaceOrNull(), body);
		RelayTransfer transfer = new RelayTransfer(exchange, body, response, this.pool, this.control, this.events,
				tokensPerEvent, fingerprint, this.quarantine, this.crashWatch);
		CallRequest request = callRequest(exchange, routed, serviceName, transfer);
		RelayCallListener listener = new RelayCallListener(exchange, response, this.pool.eventLoop(), this.control);
		CallHandle[] handle = new CallHandle[1];
		exchange.relayed();
		this.control.execute(() -> {
			long withheldMs = this.quarantine.withheldMs(fingerprint);
			if (withheldMs > 0) {
				listener.refused(Refusal.notRun(RefusalReason.QUARANTINED,
						"replicas crashed while they had this request", withheldMs));
				return;
			}
			handle[0] = this.runner.run(request, listener);
		});
		return response.respond().doOnCancel(() -> this.control.execute(() -> {
			if (handle[0] != null) {
				handle[0].cancel();
			}
		}));
	}

	private static int expectedTokens(RequestMetadata metadata) {
		int expected = (metadata.expectedAnswerTokens() > 0) ? metadata.expectedAnswerTokens()
				: metadata.maxAnswerTokens() / MAX_TO_EXPECTED_RATIO;
		return Math.max(1, Math.min(expected, metadata.maxAnswerTokens()));
	}

	private static CallRequest callRequest(Exchange exchange, RoutedRequest routed, String service,
			RelayTransfer transfer) {
		ServiceRoute route = routed.route();
		RequestMetadata metadata = routed.facts();
		WorkspaceId workspace = exchange.workspaceOrNull();
		boolean isEngine = route.kind().isStream();
		RelayedCall call = new RelayedCall(service, route.kind().repeatability(), route.kind().isInterruptible(),
				route.maxReplicas(), isEngine ? metadata.prompt() : List.of(),
				isEngine ? metadata.maxAnswerTokens() : 0, isEngine ? expectedTokens(metadata) : 0,
				exchange.reservation().stage() == RequestStage.OPENING, exchange.programOrNull(), metadata.finishMs(),
				routed.table().priorityOf(route, workspace), isEngine ? MIN_ENGINE_MS : MIN_SERVICE_MS, transfer);
		long timeLeftMs = Math.max(1, routed.timeoutMs() - exchange.elapsedMs());
		return new CallRequest(exchange.decision(), (workspace != null) ? workspace : PUBLIC_WORKSPACE,
				(workspace != null) ? exchange.key() : NO_KEY, null, 0, route.name(), call, timeLeftMs);
	}

}
