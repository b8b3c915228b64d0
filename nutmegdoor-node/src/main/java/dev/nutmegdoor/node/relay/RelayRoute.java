package dev.nutmegdoor.node.relay;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.Relay;
import dev.nutmegdoor.core.call.RelayedCall;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.limit.RequestStage;
import dev.nutmegdoor.core.quarantine.RequestFingerprint;
import dev.nutmegdoor.core.quarantine.RequestQuarantine;
import dev.nutmegdoor.core.route.ReplicaList;
import dev.nutmegdoor.core.route.RequestMetadata;
import dev.nutmegdoor.core.route.RouteKind;
import dev.nutmegdoor.core.route.RoutedService;
import dev.nutmegdoor.core.route.ServiceRoute;
import dev.nutmegdoor.core.route.ServiceShare;
import dev.nutmegdoor.core.stream.ResumeTarget;
import dev.nutmegdoor.core.stream.StreamOrigin;
import dev.nutmegdoor.core.stream.StreamOrigins;
import dev.nutmegdoor.node.entry.BodyReader;
import dev.nutmegdoor.node.entry.ControlBridge;
import dev.nutmegdoor.node.entry.Exchange;
import dev.nutmegdoor.node.entry.RefusalException;
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

	private final StreamOrigins origins;

	private final DrainDeadline drainDeadline;

	private final ReplicaList replicas;

	private final RetainedTurns retainedTurns;

	private final Predicate<Upstream> isEvacuated;

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
	 * @param origins knows where streams began; used on the control thread
	 * @param drainDeadline limits the time of requests while the instance stops
	 * @param replicas is told of replicas that leave; used on the control thread
	 * @param retainedTurns reads and stores the turns of retained routes
	 * @param isEvacuated whether nothing may be sent to a replica now, because its zone
	 * is evacuated; called on the event loop
	 */
	RelayRoute(CallRunner runner, UpstreamPool pool, ControlBridge control, UniformRandomProvider random,
			EventLog events, RequestQuarantine quarantine, StreamOrigins origins, DrainDeadline drainDeadline,
			ReplicaList replicas, RetainedTurns retainedTurns, Predicate<Upstream> isEvacuated) {
		this.runner = runner;
		this.pool = pool;
		this.control = control;
		this.random = random;
		this.events = events;
		this.quarantine = quarantine;
		this.crashWatch = new CrashWatch(pool, quarantine, control);
		this.origins = origins;
		this.drainDeadline = drainDeadline;
		this.replicas = replicas;
		this.retainedTurns = retainedTurns;
		this.isEvacuated = isEvacuated;
	}

	@Override
	public boolean matches(String method, String path) {
		return true;
	}

	@Override
	public Mono<Void> run(Exchange exchange) {
		RoutedRequest routed = exchange.routed();
		if (!routed.route().isRetained()) {
			return readBody(exchange, routed).flatMap((body) -> relay(exchange, routed, body, null));
		}
		Refusal refusal = RetainedTurns.check(routed.facts());
		if (refusal != null) {
			return Mono.error(new RefusalException(refusal));
		}
		return readBody(exchange, routed).flatMap((input) -> this.retainedTurns.compose(exchange, input))
			.flatMap((turn) -> relay(exchange, routed, turn.body(), turn).doFinally((signal) -> turn.release().run()));
	}

	private static Mono<byte[]> readBody(Exchange exchange, RoutedRequest routed) {
		return BodyReader.readBytes(exchange, routed.table().limits().maxBodyBytes(),
				Duration.ofMillis(routed.timeoutMs()));
	}

	private Mono<Void> relay(Exchange exchange, RoutedRequest routed, byte[] body, @Nullable RetainedTurn turn) {
		RelayResponse response = new RelayResponse(exchange);
		RelayStart start = new RelayStart(exchange, body, turn, routed.route().selectService(this.random.nextDouble()),
				RequestFingerprint.of(exchange.method(), exchange.path(), exchange.request().uri(),
						exchange.workspaceOrNull(), body),
				response, new RelayCallListener(exchange, response, this.pool.eventLoop(), this.control));
		exchange.relayed();
		this.control.execute(start::run);
		return response.respond().doOnCancel(() -> this.control.execute(start::cancel));
	}

	private static int expectedTokens(RequestMetadata metadata) {
		int expected = (metadata.expectedAnswerTokens() > 0) ? metadata.expectedAnswerTokens()
				: metadata.maxAnswerTokens() / MAX_TO_EXPECTED_RATIO;
		return Math.max(1, Math.min(expected, metadata.maxAnswerTokens()));
	}

	/**
	 * Submits one request to the scheduler. Runs on the control thread.
	 */
	private final class RelayStart {

		private final Exchange exchange;

		private final byte[] body;

		private final @Nullable RetainedTurn turn;

		private final String selectedService;

		private final RequestFingerprint fingerprint;

		private final RelayResponse response;

		private final CallListener listener;

		private @Nullable CallHandle handle;

		private boolean isEnded;

		private RelayStart(Exchange exchange, byte[] body, @Nullable RetainedTurn turn, String selectedService,
				RequestFingerprint fingerprint, RelayResponse response, CallListener listener) {
			this.exchange = exchange;
			this.body = body;
			this.turn = turn;
			this.selectedService = selectedService;
			this.fingerprint = fingerprint;
			this.response = response;
			this.listener = listener;
		}

		private RoutedRequest routed() {
			return this.exchange.routed();
		}

		private void run() {
			long withheldMs = RelayRoute.this.quarantine.withheldMs(this.fingerprint);
			if (withheldMs > 0) {
				refuse(RefusalReason.QUARANTINED, "replicas crashed while they had this request", withheldMs);
			}
			else if (RelayRoute.this.drainDeadline.isTooLate(timeLeftMs())) {
				refuse(RefusalReason.DRAINING, "the instance stops before the request must have ended",
						RelayCallListener.RETRY_AFTER_MS);
			}
			else if (isResumed()) {
				RelayRoute.this.origins.find(routed().facts().resumedAttemptId(), services()).thenAccept(this::resume);
			}
			else {
				submit(this.selectedService, null);
			}
		}

		private boolean isResumed() {
			RequestMetadata metadata = routed().facts();
			return routed().route().kind() == RouteKind.RESUMABLE_STREAM
					&& (metadata.resumeAfterEvent() > 0 || metadata.resumedAttemptId() != null);
		}

		private void resume(ResumeTarget target) {
			StreamOrigin origin = target.select(this.selectedService);
			if (origin == null) {
				refuse(RefusalReason.NOT_RESUMABLE, "the software version that began the stream is not known", 0);
			}
			else if (!services().contains(origin.service())) {
				refuse(RefusalReason.NOT_RESUMABLE, "the service that began the stream no longer serves the route", 0);
			}
			else {
				submit(origin.service(), origin.softwareVersion());
			}
		}

		private List<String> services() {
			return routed().route().shares().stream().map(ServiceShare::service).toList();
		}

		private void submit(String service, @Nullable String softwareVersion) {
			if (!this.isEnded) {
				this.handle = RelayRoute.this.runner.run(callRequest(service, softwareVersion), this.listener);
			}
		}

		private void refuse(RefusalReason reason, String detail, long retryAfterMs) {
			if (!this.isEnded) {
				this.isEnded = true;
				this.listener.refused(Refusal.notRun(reason, detail, retryAfterMs));
			}
		}

		private void cancel() {
			if (this.handle != null) {
				this.handle.cancel();
			}
			else {
				refuse(RefusalReason.CANCELLED, "the caller cancelled", 0);
			}
		}

		private CallRequest callRequest(String service, @Nullable String softwareVersion) {
			ServiceRoute route = routed().route();
			RequestMetadata metadata = routed().facts();
			WorkspaceId workspace = this.exchange.workspaceOrNull();
			boolean isEngine = route.kind().isStream();
			RelayedCall call = new RelayedCall(service, softwareVersion, route.kind().repeatability(),
					route.kind().isInterruptible(), route.maxReplicas(), isEngine ? metadata.prompt() : List.of(),
					isEngine ? metadata.maxAnswerTokens() : 0, isEngine ? expectedTokens(metadata) : 0,
					this.exchange.reservation().stage() == RequestStage.OPENING, this.exchange.programOrNull(),
					metadata.finishMs(), routed().table().priorityOf(route, workspace),
					isEngine ? MIN_ENGINE_MS : MIN_SERVICE_MS, relay(service));
			long timeLeftMs = Math.max(1, Math.min(timeLeftMs(), RelayRoute.this.drainDeadline.remainingMs()));
			return new CallRequest(this.exchange.decision(), (workspace != null) ? workspace : PUBLIC_WORKSPACE,
					(workspace != null) ? this.exchange.key() : NO_KEY, null, 0, route.name(), call, timeLeftMs);
		}

		private long timeLeftMs() {
			return routed().timeoutMs() - this.exchange.elapsedMs();
		}

		private Relay relay(String service) {
			ServiceRoute route = routed().route();
			RoutedService routedService = routed().table().service(service);
			int tokensPerEvent = (routedService != null && route.kind().isStream()) ? routedService.tokensPerEvent()
					: 0;
			RelayTransfer transfer = new RelayTransfer(this.exchange, this.body, this.response, RelayRoute.this.pool,
					RelayRoute.this.control, RelayRoute.this.events, tokensPerEvent, this.fingerprint,
					RelayRoute.this.quarantine, RelayRoute.this.crashWatch, RelayRoute.this.replicas,
					RelayRoute.this.retainedTurns, this.turn, RelayRoute.this.isEvacuated);
			String attemptId = routed().facts().attemptId();
			if (route.kind() != RouteKind.RESUMABLE_STREAM || attemptId == null) {
				return transfer;
			}
			return (upstream, timeLeftMs, relayListener) -> {
				if (!isResumed()) {
					RelayRoute.this.origins.began(attemptId, service, upstream);
				}
				return transfer.send(upstream, timeLeftMs, relayListener);
			};
		}

	}

}
