package dev.nutmegdoor.node.relay;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.reachability.DirectReachability;
import dev.nutmegdoor.platform.RequestTranslator;

/**
 * Pool of connections to replicas. Confined to one event loop.
 */
final class UpstreamPool {

	/**
	 * Time in milliseconds without a sign of life from any replica after which the path
	 * to one is checked.
	 */
	private static final long SILENCE_MS = 400;

	/**
	 * Minimum period in milliseconds of checks that find no detour: sound engines may
	 * take longer to answer, and each check opens a connection.
	 */
	private static final long PATH_CHECK_PERIOD_MS = 1_500;

	private final ReplicaConnector connector;

	private final DirectReachability reachability;

	private final LongSupplier clockMs;

	private final EventLoop eventLoop;

	private final RequestTranslator translator;

	private final MetricRegistry metrics;

	private final EventLog events;

	private final ToIntFunction<Upstream> maxIdleConnections;

	private final Supplier<Collection<Upstream>> replicas;

	private final Map<String, Deque<UpstreamConnection>> idleConnections = new HashMap<>();

	private final Map<String, Set<UpstreamConnection>> openConnections = new HashMap<>();

	private boolean isSilenceWatched;

	private long nextPathCheckMs = Long.MIN_VALUE;

	/**
	 * Creates an empty pool.
	 * @param connector opens connections
	 * @param reachability decides whether replicas are reached directly
	 * @param clockMs monotonic clock in milliseconds
	 * @param eventLoop event loop to which the pool is confined
	 * @param translator translates header fields
	 * @param metrics counts the unexpected responses
	 * @param events receives an event for each unexpected response
	 * @param maxIdleConnections returns the maximum number of idle connections to a
	 * replica
	 * @param replicas returns all replicas; called on the event loop
	 */
	UpstreamPool(ReplicaConnector connector, DirectReachability reachability, LongSupplier clockMs, EventLoop eventLoop,
			RequestTranslator translator, MetricRegistry metrics, EventLog events,
			ToIntFunction<Upstream> maxIdleConnections, Supplier<Collection<Upstream>> replicas) {
		this.connector = connector;
		this.reachability = reachability;
		this.clockMs = clockMs;
		this.eventLoop = eventLoop;
		this.translator = translator;
		this.metrics = metrics;
		this.events = events;
		this.maxIdleConnections = maxIdleConnections;
		this.replicas = replicas;
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
	 * @param timeLeftMs time until the deadline of the request in milliseconds
	 * @param isEligible whether a connection from the pool may be used
	 * @param onReady receives the connection
	 * @param onFailure receives the reason if no connection can be opened
	 * @return handle that cancels the wait for a new connection
	 */
	Disposable acquire(Upstream upstream, long timeLeftMs, Predicate<UpstreamConnection> isEligible,
			Consumer<UpstreamConnection> onReady, Consumer<String> onFailure) {
		UpstreamConnection pooled = this.reachability.isDirect(upstream.id(), this.clockMs.getAsLong())
				? takeUsable(keyOf(upstream), isEligible) : null;
		if (pooled != null) {
			onReady.accept(pooled);
			return () -> {
			};
		}
		return this.connector.connect(upstream, timeLeftMs, new ReplicaConnector.Listener() {

			@Override
			public void connected(Channel channel, boolean isDirect) {
				onReady.accept(install(channel, upstream, isDirect));
			}

			@Override
			public void failed(String reason) {
				onFailure.accept(reason);
			}

		});
	}

	private UpstreamConnection install(Channel channel, Upstream upstream, boolean isDirect) {
		UpstreamConnection connection = new UpstreamConnection(channel, this.translator, this, upstream, isDirect);
		if (isDirect) {
			connection.addTo(channel.pipeline());
		}
		else {
			connection.addTo(channel.pipeline(), ReplicaTunnelClient.HANDLER);
		}
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
		if (!connection.isDirect()) {
			connection.close();
			return;
		}
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

	/** Records bytes that were received on a direct connection. */
	void recordContact() {
		this.reachability.recordContact(this.clockMs.getAsLong());
	}

	/**
	 * Checks the path to a replica if no replica gives a sign of life after a request was
	 * sent. A connection from the pool that a partition has interrupted shows no error.
	 * @param upstream replica to which the request was sent on a direct connection
	 */
	void watchForSilence(Upstream upstream) {
		if (!this.isSilenceWatched) {
			this.isSilenceWatched = true;
			scheduleSilenceCheck(upstream, this.clockMs.getAsLong());
		}
	}

	private void scheduleSilenceCheck(Upstream upstream, long sentMs) {
		this.eventLoop.schedule(() -> {
			if (this.reachability.hasContactSince(sentMs) || this.reachability.isIsolated()) {
				this.isSilenceWatched = false;
				watchNewestSend();
				return;
			}
			checkPath(upstream, true);
			scheduleSilenceCheck(upstream, sentMs);
		}, SILENCE_MS, TimeUnit.MILLISECONDS);
	}

	// A send during the watch of an earlier one may be the first that gets no answer.
	private void watchNewestSend() {
		this.openConnections.values()
			.stream()
			.flatMap(Set::stream)
			.filter((connection) -> connection.isDirect() && !connection.isIdle())
			.findAny()
			.ifPresent((connection) -> watchForSilence(connection.upstream()));
	}

	private void checkPath(Upstream upstream, boolean isFirst) {
		if (isFirst && this.clockMs.getAsLong() < this.nextPathCheckMs) {
			return;
		}
		this.nextPathCheckMs = this.clockMs.getAsLong() + PATH_CHECK_PERIOD_MS;
		this.connector.check(upstream, new ReplicaConnector.Listener() {

			@Override
			public void connected(Channel channel, boolean isDirect) {
				release(install(channel, upstream, isDirect));
				if (!isDirect) {
					UpstreamPool.this.nextPathCheckMs = 0;
					checkOtherPath(upstream);
				}
			}

			@Override
			public void failed(String reason) {
				UpstreamPool.this.events.record("replica.unreachable", "replica", upstream.id(), "detail", reason);
			}

		});
	}

	// The path to a single replica does not show whether the others are reached.
	private void checkOtherPath(Upstream upstream) {
		long nowMs = this.clockMs.getAsLong();
		this.replicas.get()
			.stream()
			.filter((other) -> !other.isLeaving() && !other.id().equals(upstream.id())
					&& this.reachability.isDirect(other.id(), nowMs))
			.findAny()
			.ifPresent((other) -> checkPath(other, false));
	}

	/**
	 * Finds out whether a replica accepts connections, from this instance or another one.
	 * @param upstream the replica
	 * @param listener receives the result
	 */
	void checkAlive(Upstream upstream, Consumer<Boolean> listener) {
		this.connector.check(upstream, new ReplicaConnector.Listener() {

			@Override
			public void connected(Channel channel, boolean isDirect) {
				release(install(channel, upstream, isDirect));
				listener.accept(true);
			}

			@Override
			public void failed(String reason) {
				listener.accept(false);
			}

		});
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
