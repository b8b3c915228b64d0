package dev.nutmegdoor.node.relay;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import org.jspecify.annotations.Nullable;
import reactor.netty.resources.LoopResources;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.tunnel.TunnelMessages;
import dev.nutmegdoor.core.tunnel.TunnelRequest;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.node.peer.PeerTransportSettings;
import dev.nutmegdoor.node.peer.TcpPeerTransport;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.MessageTypes;

/**
 * An instance that opens tunnels, and a replica that listens on loopback and accepts one
 * connection at a time.
 */
final class TunnelPeers implements Closeable {

	static final InstanceId SELF = new InstanceId("i-1");

	static final InstanceId OTHER = new InstanceId("i-2");

	static final int TIMEOUT_MS = 30_000;

	final FrameCodec codec = new FrameCodec(new MessageTypes(TunnelMessages.types()));

	final Map<UpstreamId, Upstream> replicas = new ConcurrentHashMap<>();

	final Queue<String> events = new ConcurrentLinkedQueue<>();

	final LoopResources otherLoops = LoopResources.create("other", 1, true);

	final ServerSocket replicaListener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));

	final ReplicaTunnelServer server;

	final InetSocketAddress address;

	volatile boolean isAvailable = true;

	/** Connection of the other instance to the replica. */
	final AtomicReference<@Nullable Channel> replicaChannel = new AtomicReference<>();

	/** Connection of the tunnel at the other instance. */
	final AtomicReference<@Nullable Channel> peerChannel = new AtomicReference<>();

	private final ControlThread control = new ControlThread("test-control");

	private final TcpPeerTransport transport;

	TunnelPeers() throws IOException {
		this.replicaListener.setSoTimeout(TIMEOUT_MS);
		this.server = new ReplicaTunnelServer(this.replicas::get, new RecordingLoops(), this.codec,
				() -> this.isAvailable, (event, fields) -> this.events.add(event + " " + List.of(fields)));
		this.transport = new TcpPeerTransport(OTHER, new PeerTransportSettings("127.0.0.1", 0, "secret", 64, 1_000),
				this.codec, this.control, (instance) -> null, this.otherLoops);
		this.transport.acceptTunnels(this::accept);
		this.address = new InetSocketAddress("127.0.0.1", this.transport.start());
		add("replica", this.replicaListener.getLocalPort(), false);
	}

	private ChannelHandler accept(InstanceId from, long correlationId, TunnelRequest request) {
		ChannelHandler handler = this.server.accept(from, correlationId, request);
		return new ChannelInboundHandlerAdapter() {

			@Override
			public void handlerAdded(ChannelHandlerContext context) {
				TunnelPeers.this.peerChannel.set(context.channel());
				context.pipeline().replace(this, "tunnel-under-test", handler);
			}

		};
	}

	Upstream add(String id, int port, boolean isLeaving) {
		Upstream replica = new Upstream(new UpstreamId(id), UpstreamKind.SERVICE, new AvailabilityZone("a"),
				"127.0.0.1", port, List.of("s"), 1, false, isLeaving);
		this.replicas.put(replica.id(), replica);
		return replica;
	}

	Socket acceptAtReplica() throws IOException {
		Socket socket = this.replicaListener.accept();
		socket.setSoTimeout(TIMEOUT_MS);
		return socket;
	}

	static void await(BooleanSupplier condition) {
		long startNs = System.nanoTime();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - startNs > TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS)) {
				throw new AssertionError("the expected state was not reached");
			}
			Thread.onSpinWait();
		}
	}

	@Override
	public void close() throws IOException {
		this.transport.close();
		this.otherLoops.dispose();
		this.control.close();
		this.replicaListener.close();
	}

	private final class RecordingLoops implements LoopResources {

		@Override
		public EventLoopGroup onServer(boolean useNative) {
			return TunnelPeers.this.otherLoops.onServer(useNative);
		}

		@Override
		public <C extends Channel> C onChannel(Class<C> type, EventLoopGroup group) {
			C channel = TunnelPeers.this.otherLoops.onChannel(type, group);
			TunnelPeers.this.replicaChannel.set(channel);
			return channel;
		}

	}

}
