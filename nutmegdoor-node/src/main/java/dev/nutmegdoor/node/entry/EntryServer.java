package dev.nutmegdoor.node.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.node.settings.EntrySettings;

/**
 * HTTP server for clients. Every request gets a decision identifier and exactly one
 * response.
 */
public final class EntryServer {

	private static final long DRAINING_RETRY_AFTER_MS = 1_000;

	private final EntrySettings settings;

	private final EntryDependencies dependencies;

	private final FilterChain chain;

	private final HttpResponses responses;

	private final AtomicInteger runningRequestCount = new AtomicInteger();

	private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final MetricRegistry metrics;

	private final EventLog eventLog;

	private final EntryDecisions decisions;

	private final ErrorResponses errorResponses;

	private volatile InstanceState state = InstanceState.STARTING;

	private @Nullable DisposableServer server;

	/**
	 * Creates the server; {@link #start} binds it.
	 * @param settings settings of the instance
	 * @param dependencies dependencies of the filters and routes
	 */
	public EntryServer(EntrySettings settings, EntryDependencies dependencies) {
		this.settings = settings;
		this.dependencies = dependencies;
		this.metrics = dependencies.metrics();
		this.eventLog = dependencies.eventLog();
		this.responses = new HttpResponses(dependencies.configuration(), RetryAfterStyle.WHOLE_SECONDS);
		this.decisions = new EntryDecisions(dependencies.decisionRecorder(), dependencies.timers());
		this.errorResponses = new ErrorResponses(this.responses, this.decisions, this.metrics, this.eventLog);
		this.chain = chain();
		this.metrics.gauge("entry.requests.running", () -> this.runningRequestCount::get);
	}

	private FilterChain chain() {
		EntryDependencies entryDependencies = this.dependencies;
		ControlBridge control = new ControlBridge(entryDependencies.timers());
		RunningCalls runningCalls = new RunningCalls(entryDependencies.callRunner(), entryDependencies.authenticator(),
				entryDependencies.configuration(), this.settings.limits(), entryDependencies.invariants(),
				entryDependencies.eventLog(), entryDependencies.timers());
		CallExchange calls = new CallExchange(runningCalls, control);
		BodyReader bodyReader = new BodyReader(this.settings.limits(), this.settings.timeouts(),
				entryDependencies.keyScanner());
		CallHeaders headers = new CallHeaders(entryDependencies.configuration(), this.settings.timeouts().callMs());
		List<RequestFilter> filters = List.of(this::refuseIfDraining, new SizeFilter(this.settings.limits()),
				new AuthenticationFilter(entryDependencies.authenticator()),
				new RateFilter(entryDependencies.rateLimiter(), control, this.decisions));
		List<Route> routes = List.of(
				new ModelRoute(bodyReader, headers, calls, new ChatResponses(this.responses),
						entryDependencies.configuration()),
				new ServiceRoute(bodyReader, headers, calls, this.responses, entryDependencies.configuration()),
				new ProgramRoute(bodyReader, entryDependencies.programs(), control, this.responses,
						entryDependencies.configuration()));
		return new FilterChain(filters, routes);
	}

	/**
	 * Binds the server. Blocks until it accepts connections.
	 * @return the bound address
	 */
	public InetSocketAddress start() {
		// The decoder only bounds memory. Its limit is higher than that of the size
		// filter, which rejects a request with a decision identifier.
		int decoderLimit = 2 * this.settings.limits().maxHeaderBytes();
		this.server = HttpServer.create()
			.host(this.settings.listen().host())
			.port(this.settings.listen().port())
			.channelGroup(this.connections)
			.idleTimeout(Duration.ofMillis(this.settings.timeouts().idleMs()))
			.readTimeout(Duration.ofMillis(this.settings.timeouts().bodyMs()))
			.httpRequestDecoder((spec) -> spec.maxHeaderSize(decoderLimit).maxInitialLineLength(decoderLimit))
			.childOption(ChannelOption.TCP_NODELAY, true)
			.handle(this::handle)
			.bindNow();
		return (InetSocketAddress) this.server.address();
	}

	public InstanceState state() {
		return this.state;
	}

	/**
	 * Changes the state that the readiness route reports, and records the change.
	 * @param newState state from now on
	 */
	public void enter(InstanceState newState) {
		this.eventLog.record("entry.state", "instance", this.settings.instance(), "from", this.state, "to", newState);
		this.state = newState;
	}

	/**
	 * Returns the number of requests in progress.
	 * @return number of requests whose response is not complete
	 */
	public int runningRequests() {
		return this.runningRequestCount.get();
	}

	/**
	 * Stops listening and closes all connections.
	 */
	public void stop() {
		if (this.server != null) {
			this.server.channel().close();
			this.connections.close();
			this.server.dispose();
		}
	}

	private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		Channel[] channel = new Channel[1];
		request.withConnection((Connection connection) -> channel[0] = connection.channel());
		DecisionId decision = this.dependencies.decisionIds().next();
		Exchange exchange = new Exchange(request, response, channel[0], decision);
		Mono<Void> publicResponse = publicRoute(exchange);
		if (publicResponse != null) {
			return publicResponse;
		}
		this.runningRequestCount.incrementAndGet();
		return this.chain.run(exchange)
			.onErrorResume((error) -> this.errorResponses.respond(exchange, error))
			.doFinally((signal) -> {
				this.runningRequestCount.decrementAndGet();
				recordDuration(exchange);
			});
	}

	private Mono<Void> refuseIfDraining(Exchange exchange) {
		if (this.state.isAccepting()) {
			return Mono.empty();
		}
		exchange.response().header("Connection", "close");
		return Mono.error(new RefusalException(Refusal.notRun(RefusalReason.DRAINING,
				"the instance takes no work; another one does", DRAINING_RETRY_AFTER_MS)));
	}

	private void recordDuration(Exchange exchange) {
		this.metrics.timer("entry.requests").update(Duration.ofMillis(exchange.elapsedMs()));
	}

	private @Nullable Mono<Void> publicRoute(Exchange exchange) {
		if (!exchange.method().equals("GET")) {
			return null;
		}
		return switch (exchange.path()) {
			case "/healthz" -> this.responses.json(exchange, 200, "{\"status\":\"ok\"}");
			case "/readyz" -> ready(exchange);
			case "/status" -> this.responses.json(exchange, 200, status().toString());
			default -> null;
		};
	}

	private Mono<Void> ready(Exchange exchange) {
		boolean isReady = this.state.isReady();
		HttpResponseStatus status = isReady ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
		return this.responses.json(exchange, status.code(),
				JsonNodeFactory.instance.objectNode().put("ready", isReady).put("state", stateName()).toString());
	}

	private ObjectNode status() {
		return JsonNodeFactory.instance.objectNode()
			.put("instance", this.settings.instance().value())
			.put("availabilityZone", this.settings.availabilityZone().value())
			.put("state", stateName())
			.put("configurationVersion", this.dependencies.configuration().current().version())
			.put("runningRequests", this.runningRequestCount.get());
	}

	private String stateName() {
		return this.state.name().toLowerCase(Locale.ROOT);
	}

}
