package dev.nutmegdoor.node.relay;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.resolver.DefaultAddressResolverGroup;
import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;
import reactor.netty.Connection;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.platform.RequestTranslator;

/**
 * Pool of connections to replicas. Confined to one event loop.
 */
final class UpstreamPool {

	/**
	 * Maximum time to establish a connection in milliseconds. Round trips take less than
	 * 20 ms; a SYN packet that a replica with a full backlog drops is retransmitted only
	 * after a second.
	 */
	private static final int CONNECT_TIMEOUT_MS = 250;

	private final LoopResources loops;

	private final EventLoop eventLoop;

	private final RequestTranslator translator;

	private final MetricRegistry metrics;

	private final EventLog events;

	private final ToIntFunction<Upstream> maxIdleConnections;

	private final Map<String, Deque<UpstreamConnection>> idleConnections = new HashMap<>();

	private final Map<String, Set<UpstreamConnection>> openConnections = new HashMap<>();

	/**
	 * Creates an empty pool.
	 * @param loops event loops on which connections run
	 * @param eventLoop event loop to which the pool is confined
	 * @param translator translates header fields
	 * @param metrics counts the opened connections and the unexpected responses
	 * @param events receives an event for each unexpected response
	 * @param maxIdleConnections returns the maximum number of idle connections to a
	 * replica
	 */
	UpstreamPool(LoopResources loops, EventLoop eventLoop, RequestTranslator translator, MetricRegistry metrics,
			EventLog events, ToIntFunction<Upstream> maxIdleConnections) {
		this.loops = loops;
		this.eventLoop = eventLoop;
		this.translator = translator;
		this.metrics = metrics;
		this.events = events;
		this.maxIdleConnections = maxIdleConnections;
	}

	EventLoop eventLoop() {
		return this.eventLoop;
	}

	RequestTranslator translator() {
		return this.translator;
	}

	/**
	 * Takes an idle connection from the pool or opens a new one.
	 * @param upstream replica to connect to
	 * @param isEligible whether a connection from the pool may be used
	 * @param onReady receives the connection
	 * @param onFailure receives the reason if no connection can be opened
	 * @return handle that cancels the wait for a new connection
	 */
	Disposable acquire(Upstream upstream, Predicate<UpstreamConnection> isEligible,
			Consumer<UpstreamConnection> onReady, Consumer<String> onFailure) {
		String key = keyOf(upstream);
		UpstreamConnection pooled = takeUsable(key, isEligible);
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
		connection.addTo(channel.pipeline());
		// Reactor Netty reads only on demand of its own subscribers, which are not used
		// here.
		channel.config().setAutoRead(true);
		this.openConnections.computeIfAbsent(keyOf(upstream), (key) -> new HashSet<>()).add(connection);
		return connection;
	}

	private @Nullable UpstreamConnection takeUsable(String key, Predicate<UpstreamConnection> isEligible) {
		Iterator<UpstreamConnection> newestFirst = this.idleConnections.getOrDefault(key, new ArrayDeque<>())
			.descendingIterator();
		while (newestFirst.hasNext()) {
			UpstreamConnection connection = newestFirst.next();
			if (!connection.isUsable()) {
				newestFirst.remove();
				connection.close();
			}
			else if (isEligible.test(connection)) {
				newestFirst.remove();
				return connection;
			}
		}
		return null;
	}

	// The key contains the identifier because another replica may reuse the address.
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
		Set<UpstreamConnection> open = this.openConnections.get(key);
		if (open != null && open.remove(connection) && open.isEmpty()) {
			this.openConnections.remove(key);
		}
	}

	/**
	 * Records bytes that are not the response to the request in progress.
	 * @param reason what is unexpected
	 * @param connection connection that received them
	 * @param expectedAttempt identifier of the request in progress, if any
	 * @param status status that was received, 0 if it isn't known
	 * @param receivedAttempt identifier that was received, if any
	 */
	void recordUnexpected(String reason, UpstreamConnection connection, @Nullable String expectedAttempt, int status,
			@Nullable String receivedAttempt) {
		this.metrics.counter("upstream.responses.unexpected").inc();
		this.events.record("upstream.unexpected-response", "reason", reason, "replica", connection.upstream().id(),
				"connection", connection.describeSend(), "attempt", String.valueOf(expectedAttempt), "status", status,
				"receivedAttempt", String.valueOf(receivedAttempt));
	}

	/**
	 * Returns whether a connection to a replica has been open since a given time, which a
	 * process that crashed meanwhile can't have.
	 * @param upstream the replica
	 * @param sinceNs value of {@link System#nanoTime()}
	 * @return {@code false} also if there was no connection at that time
	 */
	boolean hasConnectionSince(Upstream upstream, long sinceNs) {
		return this.openConnections.getOrDefault(keyOf(upstream), Set.of())
			.stream()
			.anyMatch((connection) -> connection.isOpenSince(sinceNs));
	}

	int idleConnections() {
		return this.idleConnections.values().stream().mapToInt(Deque::size).sum();
	}

}
