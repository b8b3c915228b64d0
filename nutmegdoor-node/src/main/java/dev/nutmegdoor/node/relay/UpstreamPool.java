package dev.nutmegdoor.node.relay;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.resolver.DefaultAddressResolverGroup;
import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;
import reactor.netty.Connection;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.platform.RequestTranslator;

/**
 * Keeps idle connections to replicas. Confined to one event loop.
 */
final class UpstreamPool {

	/**
	 * Longest time to establish a connection in milliseconds. Round trips take less than
	 * 20 ms; an opening packet that a full replica drops is repeated after a second only.
	 */
	private static final int CONNECT_TIMEOUT_MS = 250;

	private static final int MAX_LINE_BYTES = 16_384;

	private static final int MAX_HEADER_BYTES = 65_536;

	private static final int MAX_CHUNK_BYTES = 16_384;

	private final LoopResources loops;

	private final EventLoop eventLoop;

	private final RequestTranslator translator;

	private final MetricRegistry metrics;

	private final ToIntFunction<Upstream> maxIdleConnections;

	private final Map<String, Deque<UpstreamConnection>> idleConnections = new HashMap<>();

	/**
	 * Creates an empty pool.
	 * @param loops event loops
	 * @param eventLoop the loop that uses the pool
	 * @param translator names of header fields
	 * @param metrics counts connections that are opened
	 * @param maxIdleConnections idle connections to keep to a replica
	 */
	UpstreamPool(LoopResources loops, EventLoop eventLoop, RequestTranslator translator, MetricRegistry metrics,
			ToIntFunction<Upstream> maxIdleConnections) {
		this.loops = loops;
		this.eventLoop = eventLoop;
		this.translator = translator;
		this.metrics = metrics;
		this.maxIdleConnections = maxIdleConnections;
	}

	EventLoop eventLoop() {
		return this.eventLoop;
	}

	RequestTranslator translator() {
		return this.translator;
	}

	/**
	 * Takes an idle connection, or opens one.
	 * @param upstream the replica
	 * @param onReady receives the connection
	 * @param onFailure receives the reason if none can be opened
	 * @return handle that gives up waiting
	 */
	Disposable acquire(Upstream upstream, Consumer<UpstreamConnection> onReady, Consumer<String> onFailure) {
		String key = keyOf(upstream);
		UpstreamConnection pooled = takeUsable(key);
		if (pooled != null) {
			onReady.accept(pooled);
			return () -> {
			};
		}
		this.metrics.counter("upstream.connections.opened").inc();
		return TcpClient.newConnection()
			.resolver(DefaultAddressResolverGroup.INSTANCE)
			.runOn(this.loops, false)
			.remoteAddress(() -> new InetSocketAddress(upstream.host(), upstream.port()))
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.connect()
			.subscribe((connection) -> onReady.accept(install(connection, upstream)),
					(error) -> onFailure.accept("no connection to " + key + ": " + error));
	}

	private UpstreamConnection install(Connection established, Upstream upstream) {
		Channel channel = established.channel();
		UpstreamConnection connection = new UpstreamConnection(channel, this.translator, this, upstream);
		channel.pipeline()
			.addFirst("nutmegdoor-http", new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES));
		channel.pipeline().addAfter("nutmegdoor-http", "nutmegdoor-upstream", connection);
		// Reactor Netty reads only on demand of its own subscribers; here the handler
		// reads.
		channel.config().setAutoRead(true);
		return connection;
	}

	private @Nullable UpstreamConnection takeUsable(String key) {
		Deque<UpstreamConnection> connections = this.idleConnections.get(key);
		while (connections != null && !connections.isEmpty()) {
			UpstreamConnection connection = connections.removeLast();
			if (connection.isUsable()) {
				return connection;
			}
			connection.close();
		}
		return null;
	}

	// An address that is used again belongs to another replica.
	private static String keyOf(Upstream upstream) {
		return upstream.id() + "@" + upstream.host() + ":" + upstream.port();
	}

	void release(UpstreamConnection connection) {
		Deque<UpstreamConnection> connections = this.idleConnections.computeIfAbsent(keyOf(connection.upstream()),
				(key) -> new ArrayDeque<>());
		while (connections.size() >= this.maxIdleConnections.applyAsInt(connection.upstream())) {
			connections.removeFirst().close();
		}
		connections.addLast(connection);
	}

	void closed(UpstreamConnection connection) {
		String key = keyOf(connection.upstream());
		Deque<UpstreamConnection> connections = this.idleConnections.get(key);
		if (connections != null && connections.remove(connection) && connections.isEmpty()) {
			this.idleConnections.remove(key);
		}
	}

	int idleConnections() {
		return this.idleConnections.values().stream().mapToInt(Deque::size).sum();
	}

}
