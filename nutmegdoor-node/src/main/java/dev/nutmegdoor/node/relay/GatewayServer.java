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
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

import dev.nutmegdoor.core.explain.DecisionIds;
import dev.nutmegdoor.core.route.RequestLimits;
import dev.nutmegdoor.node.entry.ControlBridge;
import dev.nutmegdoor.node.entry.ErrorResponses;
import dev.nutmegdoor.node.entry.Exchange;
import dev.nutmegdoor.node.entry.FilterChain;

/**
 * HTTP server for the clients of the platform. All requests go through one filter chain.
 */
final class GatewayServer {

	/**
	 * Bytes of a request line or header up to which the decoder reads on, so that the
	 * limit of the configuration decides. Larger ones are answered by Reactor Netty.
	 */
	private static final int MAX_HEADER_BYTES = 65_536;

	private static final String CLIENT_HANDLER = "nutmegdoor-client";

	private final InetSocketAddress address;

	private final LoopResources loops;

	private final FilterChain chain;

	private final ErrorResponses refusals;

	private final DecisionIds decisionIds;

	private final ControlBridge control;

	private final MetricRegistry metrics;

	private final Supplier<RequestLimits> limits;

	private final AtomicInteger running = new AtomicInteger();

	private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private volatile boolean isLeaving;

	private @Nullable DisposableServer server;

	GatewayServer(InetSocketAddress address, LoopResources loops, FilterChain chain, ErrorResponses refusals,
			DecisionIds decisionIds, ControlBridge control, MetricRegistry metrics, Supplier<RequestLimits> limits) {
		this.address = address;
		this.loops = loops;
		this.chain = chain;
		this.refusals = refusals;
		this.decisionIds = decisionIds;
		this.control = control;
		this.metrics = metrics;
		this.limits = limits;
		metrics.gauge("gateway.requests.running", () -> this.running::get);
		metrics.gauge("gateway.connections", () -> this.connections::size);
	}

	InetSocketAddress start() {
		DisposableServer bound = HttpServer.create()
			.bindAddress(() -> this.address)
			.runOn(this.loops, false)
			.channelGroup(this.connections)
			.doOnChannelInit((observer, channel, remote) -> channel.pipeline()
				.addFirst(CLIENT_HANDLER, new ClientConnection(this.limits, System::nanoTime)))
			.httpRequestDecoder((spec) -> spec.maxHeaderSize(MAX_HEADER_BYTES).maxInitialLineLength(MAX_HEADER_BYTES))
			.childOption(ChannelOption.TCP_NODELAY, true)
			.handle(this::handle)
			.bindNow();
		this.server = bound;
		return (InetSocketAddress) bound.address();
	}

	int runningRequests() {
		return this.running.get();
	}

	/**
	 * Makes each answer close its connection from now on, so that clients open their next
	 * one elsewhere.
	 */
	void leave() {
		this.isLeaving = true;
	}

	/**
	 * Stops accepting connections; open ones go on.
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
		if (this.isLeaving) {
			response.keepAlive(false);
		}
		ClientConnection client = channel[0].pipeline().get(ClientConnection.class);
		client.requestBegun();
		this.running.incrementAndGet();
		return this.chain.run(exchange)
			.onErrorResume((error) -> this.refusals.respond(exchange, error))
			.doFinally((signal) -> {
				this.running.decrementAndGet();
				exchange.channel().eventLoop().execute(client::requestEnded);
				if (!exchange.isRelayed()) {
					this.control.execute(exchange.reservation()::settle);
				}
				this.metrics.timer("gateway.requests").update(Duration.ofMillis(exchange.elapsedMs()));
			});
	}

}
