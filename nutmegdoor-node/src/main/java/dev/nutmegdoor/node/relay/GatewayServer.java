package dev.nutmegdoor.node.relay;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionIds;
import dev.nutmegdoor.core.route.RequestLimits;
import dev.nutmegdoor.node.entry.ControlBridge;
import dev.nutmegdoor.node.entry.ErrorResponses;
import dev.nutmegdoor.node.entry.Exchange;
import dev.nutmegdoor.node.entry.FilterChain;
import dev.nutmegdoor.node.entry.RefusalException;

/**
 * HTTP server for the clients of the platform. All requests pass one filter chain.
 */
final class GatewayServer {

	/**
	 * Maximum number of bytes of a request line or header that the decoder accepts, so
	 * that the limit of the configuration applies below it. Reactor Netty rejects larger
	 * ones.
	 */
	private static final int MAX_HEADER_BYTES = 65_536;

	private static final String CLIENT_HANDLER = "nutmegdoor-client";

	private final InetSocketAddress address;

	private final LoopResources loops;

	private final FilterChain chain;

	private final ErrorResponses errorResponses;

	private final DecisionIds decisionIds;

	private final ControlBridge control;

	private final MetricRegistry metrics;

	private final Supplier<RequestLimits> limits;

	private final AtomicInteger runningRequests = new AtomicInteger();

	private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final DrainDeadline drainDeadline;

	private final EventLog events;

	private final Sinks.Empty<Void> interruption = Sinks.empty();

	private @Nullable DisposableServer server;

	GatewayServer(InetSocketAddress address, LoopResources loops, FilterChain chain, ErrorResponses errorResponses,
			DecisionIds decisionIds, ControlBridge control, MetricRegistry metrics, Supplier<RequestLimits> limits,
			DrainDeadline drainDeadline, EventLog events) {
		this.address = address;
		this.loops = loops;
		this.chain = chain;
		this.errorResponses = errorResponses;
		this.decisionIds = decisionIds;
		this.control = control;
		this.metrics = metrics;
		this.limits = limits;
		this.drainDeadline = drainDeadline;
		this.events = events;
		metrics.gauge("gateway.requests.running", () -> this.runningRequests::get);
		metrics.gauge("gateway.connections", () -> this.connections::size);
	}

	InetSocketAddress start() {
		DisposableServer bound = HttpServer.create()
			.bindAddress(() -> this.address)
			.runOn(this.loops, false)
			.channelGroup(this.connections)
			.doOnChannelInit((observer, channel, remote) -> channel.pipeline()
				.addFirst(CLIENT_HANDLER, new ClientConnection(this.limits, System::nanoTime, this.events)))
			.httpRequestDecoder((spec) -> spec.maxHeaderSize(MAX_HEADER_BYTES).maxInitialLineLength(MAX_HEADER_BYTES))
			.childOption(ChannelOption.TCP_NODELAY, true)
			.handle(this::handle)
			.bindNow();
		this.server = bound;
		return (InetSocketAddress) bound.address();
	}

	int runningRequests() {
		return this.runningRequests.get();
	}

	int openConnections() {
		return this.connections.size();
	}

	/**
	 * Closes the connections on which no request is under way, so that their clients send
	 * the next one to another instance.
	 */
	void closeIdleConnections() {
		for (Channel connection : this.connections) {
			ClientConnection client = connection.pipeline().get(ClientConnection.class);
			if (client != null) {
				client.closeIfIdle();
			}
		}
	}

	/**
	 * Answers the requests whose response has not begun and breaks off the other
	 * responses.
	 */
	void interruptRequests() {
		// Responses are confined to the event loop of their connections.
		this.loops.onServer(false).next().execute(() -> this.interruption.tryEmitEmpty());
	}

	/**
	 * Stops accepting connections; existing ones stay open.
	 */
	void stopAccepting() {
		if (this.server != null) {
			this.server.channel().close().syncUninterruptibly();
		}
	}

	void stop() {
		stopAccepting();
		this.connections.close();
		if (this.server != null) {
			this.server.dispose();
		}
	}

	private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		Channel[] channel = new Channel[1];
		request.withConnection((Connection connection) -> channel[0] = connection.channel());
		Exchange exchange = new Exchange(request, response, channel[0], this.decisionIds.next());
		// The client is to send its next request to another instance.
		if (this.drainDeadline.isStarted()) {
			response.keepAlive(false);
		}
		ClientConnection client = channel[0].pipeline().get(ClientConnection.class);
		client.requestStarted();
		this.runningRequests.incrementAndGet();
		return Mono.firstWithSignal(this.chain.run(exchange), interruptionOf(exchange))
			.onErrorResume((error) -> this.errorResponses.respond(exchange, error))
			.doFinally((signal) -> {
				this.runningRequests.decrementAndGet();
				exchange.channel().eventLoop().execute(client::requestEnded);
				if (!exchange.isRelayed()) {
					this.control.execute(exchange.reservation()::settle);
				}
				this.metrics.timer("gateway.requests").update(Duration.ofMillis(exchange.elapsedMs()));
			});
	}

	private Mono<Void> interruptionOf(Exchange exchange) {
		return this.interruption.asMono().then(Mono.defer(() -> {
			String detail = "the instance stops";
			return Mono.error(new RefusalException(
					exchange.isRelayed() ? new Refusal(RefusalReason.OUTCOME_UNKNOWN, RunState.UNKNOWN, detail, 0)
							: Refusal.notRun(RefusalReason.DRAINING, detail, RelayCallListener.RETRY_AFTER_MS)));
		}));
	}

}
