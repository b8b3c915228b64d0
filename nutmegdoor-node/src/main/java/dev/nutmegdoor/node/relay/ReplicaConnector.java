package dev.nutmegdoor.node.relay;

import java.net.InetSocketAddress;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.resolver.DefaultAddressResolverGroup;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.reachability.DirectReachability;

/**
 * Opens connections to replicas: directly, and through other instances while this one
 * does not reach a replica that they reach. Confined to the event loop of the pool.
 */
final class ReplicaConnector {

	/**
	 * Maximum time to establish a connection in milliseconds. Round trips take less than
	 * 20 ms; a SYN packet that a replica with a full backlog drops is retransmitted only
	 * after a second.
	 */
	private static final int CONNECT_TIMEOUT_MS = 250;

	/** Maximum number of instances that are asked for a connection to a replica. */
	private static final int MAX_PEERS = 6;

	/**
	 * Maximum number of instances that are asked while other replicas answer, so that the
	 * replica rather than the path to it is likely to be down.
	 */
	private static final int MAX_PEERS_BESIDE_CONTACT = 2;

	/**
	 * Period in milliseconds in which at most one path is checked beside the requests.
	 */
	private static final long CHECK_PERIOD_MS = 200;

	/** Maximum time to check whether a replica accepts connections in milliseconds. */
	private static final long CHECK_TIMEOUT_MS = 1_000;

	private final LoopResources loops;

	private final DirectReachability reachability;

	private final Detours detours;

	private final LongSupplier clockMs;

	private final MetricRegistry metrics;

	private long nextCheckMs;

	/**
	 * Creates a connector.
	 * @param loops event loops on which connections run
	 * @param reachability decides whether replicas are reached directly
	 * @param detours finds other instances that reach a replica
	 * @param clockMs monotonic clock in milliseconds
	 * @param metrics counts opened connections and tunnels
	 */
	ReplicaConnector(LoopResources loops, DirectReachability reachability, Detours detours, LongSupplier clockMs,
			MetricRegistry metrics) {
		this.loops = loops;
		this.reachability = reachability;
		this.detours = detours;
		this.clockMs = clockMs;
		this.metrics = metrics;
	}

	/**
	 * Opens a connection. Nothing is sent on it, so a request has not run if this fails.
	 * @param upstream replica to connect to
	 * @param timeLeftMs time until the deadline of the request in milliseconds
	 * @param listener receives the connection or the reason of the failure
	 * @return handle that cancels the wait for the connection
	 */
	Disposable connect(Upstream upstream, long timeLeftMs, Listener listener) {
		return start(new Opening(upstream, timeLeftMs, listener, false));
	}

	/**
	 * Finds out whether a replica accepts connections, from this instance or another one.
	 * @param upstream replica to connect to
	 * @param listener receives the connection or the reason of the failure
	 */
	void check(Upstream upstream, Listener listener) {
		start(new Opening(upstream, CHECK_TIMEOUT_MS, listener, true));
	}

	private static Disposable start(Opening opening) {
		opening.start();
		return opening.pending;
	}

	private Mono<? extends Connection> connectDirectly(Upstream upstream) {
		this.metrics.counter("upstream.connections.opened").inc();
		return TcpClient.newConnection()
			.resolver(DefaultAddressResolverGroup.INSTANCE)
			.runOn(this.loops, false)
			.remoteAddress(() -> new InetSocketAddress(upstream.host(), upstream.port()))
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.connect();
	}

	// Ends the detours if it succeeds.
	private void retryDirectly(Upstream upstream) {
		connectDirectly(upstream).subscribe((connection) -> {
			this.reachability.recordConnected(upstream.id(), this.clockMs.getAsLong());
			connection.channel().close();
		}, (error) -> {
		});
	}

	/**
	 * Receives the result of an opening.
	 */
	interface Listener {

		/**
		 * Called with an open connection.
		 * @param channel channel of the connection
		 * @param isDirect whether the connection leads to the replica without another
		 * instance
		 */
		void connected(Channel channel, boolean isDirect);

		/**
		 * Called if neither this instance nor another one has reached the replica.
		 * @param reason description for logs
		 */
		void failed(String reason);

	}

	/**
	 * One search for a way to a replica.
	 */
	private final class Opening {

		private final Upstream upstream;

		private final long timeLeftMs;

		private final Listener listener;

		private final Disposable.Swap pending = Disposables.swap();

		private final long startedMs = nowMs();

		private final boolean isCheck;

		private boolean isDirectTried;

		private int steps;

		private Opening(Upstream upstream, long timeLeftMs, Listener listener, boolean isCheck) {
			this.upstream = upstream;
			this.timeLeftMs = timeLeftMs;
			this.listener = listener;
			this.isCheck = isCheck;
		}

		private long nowMs() {
			return ReplicaConnector.this.clockMs.getAsLong();
		}

		private void start() {
			DirectReachability reachability = ReplicaConnector.this.reachability;
			if (reachability.startRetry(this.startedMs)) {
				retryDirectly(this.upstream);
			}
			if (!reachability.isDirect(this.upstream.id(), this.startedMs)) {
				takeDetour("no direct path to " + this.upstream.id(), MAX_PEERS);
				return;
			}
			this.isDirectTried = true;
			await(() -> connectDirectly(this.upstream).subscribe((connection) -> {
				reachability.recordConnected(this.upstream.id(), nowMs());
				this.listener.connected(connection.channel(), true);
			}, this::directConnectionFailed));
		}

		// While other replicas answer, one that drops packets probably has a fault of
		// its own, and another one serves the request sooner. Whether the path to it is
		// interrupted is found out for later requests.
		private void directConnectionFailed(Throwable error) {
			String reason = "no connection to " + this.upstream.id() + ": " + error;
			boolean hasContact = ReplicaConnector.this.reachability.hasContactSince(this.startedMs);
			if (error instanceof ConnectTimeoutException && hasContact && !this.isCheck) {
				this.listener.failed(reason);
				checkForDetour();
			}
			else {
				takeDetour(reason, hasContact ? MAX_PEERS_BESIDE_CONTACT : MAX_PEERS);
			}
		}

		private void takeDetour(String reason, int maxPeers) {
			long elapsedMs = nowMs() - this.startedMs;
			await(() -> ReplicaConnector.this.detours.search(this.upstream, Math.max(1, this.timeLeftMs - elapsedMs),
					maxPeers, this::reached, (failure) -> this.listener.failed(reason + "; " + failure)));
		}

		private void checkForDetour() {
			if (nowMs() >= ReplicaConnector.this.nextCheckMs) {
				ReplicaConnector.this.nextCheckMs = nowMs() + CHECK_PERIOD_MS;
				ReplicaConnector.this.detours.search(this.upstream, CHECK_PERIOD_MS, MAX_PEERS_BESIDE_CONTACT,
						(channel) -> {
							recordDetour();
							channel.close();
						}, (failure) -> {
						});
			}
		}

		private void reached(Channel channel) {
			ReplicaConnector.this.metrics.counter("upstream.tunnels.opened").inc();
			if (this.isDirectTried) {
				recordDetour();
			}
			this.listener.connected(channel, false);
		}

		private void recordDetour() {
			ReplicaConnector.this.reachability.recordDetour(this.upstream.id(), this.startedMs, nowMs());
		}

		// A step that fails at once has begun the next one before it returns.
		private void await(Supplier<Disposable> step) {
			int startedStep = ++this.steps;
			Disposable cancellation = step.get();
			if (startedStep == this.steps) {
				this.pending.update(cancellation);
			}
		}

	}

}
