package dev.nutmegdoor.node.relay;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import org.jspecify.annotations.Nullable;
import reactor.netty.resources.LoopResources;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.tunnel.TunnelRequest;
import dev.nutmegdoor.node.peer.TunnelAcceptor;
import dev.nutmegdoor.protocol.FrameCodec;

/**
 * Opens tunnels to replicas for instances that don't reach them. Connects only to the
 * replicas of its own list and never through a further instance, so that tunnels form no
 * loops.
 */
final class ReplicaTunnelServer implements TunnelAcceptor {

	/** Maximum time to establish a connection to a replica in milliseconds. */
	private static final int CONNECT_TIMEOUT_MS = 250;

	private final Function<UpstreamId, @Nullable Upstream> replicas;

	private final LoopResources loops;

	private final FrameCodec codec;

	private final BooleanSupplier isAvailable;

	private final EventLog events;

	private final AtomicInteger openTunnels = new AtomicInteger();

	/**
	 * Creates a server without tunnels.
	 * @param replicas returns a replica of this instance's list, called on event loops
	 * @param loops event loops of the peer transport
	 * @param codec codec that knows the messages of tunnels
	 * @param isAvailable whether this instance opens tunnels: it isn't draining and
	 * reaches a replica; called on event loops
	 * @param events receives an event for each tunnel
	 */
	ReplicaTunnelServer(Function<UpstreamId, @Nullable Upstream> replicas, LoopResources loops, FrameCodec codec,
			BooleanSupplier isAvailable, EventLog events) {
		this.replicas = replicas;
		this.loops = loops;
		this.codec = codec;
		this.isAvailable = isAvailable;
		this.events = events;
	}

	@Override
	public ChannelHandler accept(InstanceId from, long correlationId, TunnelRequest request) {
		return new ReplicaTunnel(this, new TunnelFrames(this.codec), from, correlationId, request);
	}

	/**
	 * Returns the number of tunnels that are open or being opened.
	 * @return 0 if a drain need not wait for any
	 */
	int openTunnels() {
		return this.openTunnels.get();
	}

	FrameCodec codec() {
		return this.codec;
	}

	EventLog events() {
		return this.events;
	}

	boolean isAvailable() {
		return this.isAvailable.getAsBoolean();
	}

	/**
	 * Finds a replica that accepts new work.
	 * @param id identifier as it was received
	 * @return the replica, or {@code null} if it isn't listed, is leaving or belongs to
	 * an evacuated zone
	 */
	@Nullable Upstream replica(String id) {
		try {
			Upstream replica = this.replicas.apply(new UpstreamId(id));
			return (replica != null && !replica.isLeaving()) ? replica : null;
		}
		catch (IllegalArgumentException ex) {
			return null;
		}
	}

	// Half closure tells the end that the replica sends from a close on this side, which
	// the shutdown of the event loops causes as well.
	Bootstrap connector(EventLoop eventLoop) {
		return new Bootstrap().group(eventLoop)
			.channelFactory(() -> this.loops.onChannel(SocketChannel.class, eventLoop))
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.option(ChannelOption.AUTO_READ, false);
	}

	void tunnelStarted() {
		this.openTunnels.incrementAndGet();
	}

	void tunnelClosed() {
		this.openTunnels.decrementAndGet();
	}

}
