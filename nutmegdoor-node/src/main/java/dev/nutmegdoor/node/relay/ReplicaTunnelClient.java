package dev.nutmegdoor.node.relay;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.resolver.DefaultAddressResolverGroup;
import reactor.core.Disposable;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.tunnel.TunnelRequest;
import dev.nutmegdoor.protocol.Frame;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.FrameKind;

/**
 * Opens tunnels to replicas through other instances. Each tunnel has a connection of its
 * own and carries one request.
 */
final class ReplicaTunnelClient {

	/**
	 * Name of the handler behind which the pipeline of a tunnel passes plain bytes of the
	 * replica.
	 */
	static final String HANDLER = "nutmegdoor-tunnel";

	private static final long CORRELATION_ID = 1;

	private final InstanceId self;

	private final String sharedSecret;

	private final FrameCodec codec;

	private final LoopResources loops;

	private final Predicate<InstanceId> isIdentityKnown;

	private final int openTimeoutMs;

	/**
	 * Creates a client.
	 * @param self this instance
	 * @param sharedSecret secret that all instances share
	 * @param codec codec that knows the messages of tunnels
	 * @param loops event loops on which tunnels run
	 * @param isIdentityKnown whether an identifier is that of an instance and not a name
	 * for an address
	 * @param openTimeoutMs maximum time to open a tunnel in milliseconds
	 */
	ReplicaTunnelClient(InstanceId self, String sharedSecret, FrameCodec codec, LoopResources loops,
			Predicate<InstanceId> isIdentityKnown, int openTimeoutMs) {
		this.self = self;
		this.sharedSecret = sharedSecret;
		this.codec = codec;
		this.loops = loops;
		this.isIdentityKnown = isIdentityKnown;
		this.openTimeoutMs = openTimeoutMs;
	}

	/**
	 * Opens a tunnel. Calls exactly one of the consumers on an event loop, or neither
	 * after the returned handle is disposed. If it fails, the replica has received
	 * nothing.
	 * @param peer instance through which the replica is reached
	 * @param peerAddress address on which the instance accepts peers
	 * @param replica replica to connect to
	 * @param timeLeftMs time until the deadline of the request in milliseconds
	 * @param onConnected receives the open channel; it must add handlers behind
	 * {@link #HANDLER} before it returns, because the next bytes may follow at once
	 * @param onFailure receives the reason if the tunnel isn't opened
	 * @return handle that cancels the opening, without effect on an open tunnel
	 */
	Disposable open(InstanceId peer, InetSocketAddress peerAddress, Upstream replica, long timeLeftMs,
			Consumer<Channel> onConnected, Consumer<TunnelFailure> onFailure) {
		long startNs = System.nanoTime();
		TunnelOpening opening = new TunnelOpening("no tunnel to " + replica.id() + " through " + peer + ": ",
				onConnected, onFailure);
		Disposable connecting = TcpClient.newConnection()
			.resolver(DefaultAddressResolverGroup.INSTANCE)
			.runOn(this.loops, false)
			.remoteAddress(() -> peerAddress)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.openTimeoutMs)
			.option(ChannelOption.TCP_NODELAY, true)
			.connect()
			.subscribe((connection) -> {
				long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
				install(connection.channel(), peer,
						new TunnelRequest(replica.id().value(), Math.max(0, timeLeftMs - elapsedMs)), opening,
						Math.max(0, this.openTimeoutMs - elapsedMs));
			}, (error) -> opening.fail(error.toString()));
		return () -> {
			opening.cancel();
			connecting.dispose();
		};
	}

	private void install(Channel channel, InstanceId peer, TunnelRequest request, TunnelOpening opening,
			long timeoutMs) {
		Frame hello = Frame.hello(this.self.value(), this.isIdentityKnown.test(peer) ? peer.value() : "",
				this.sharedSecret.getBytes(StandardCharsets.UTF_8));
		Frame requestFrame = this.codec.frame(FrameKind.REQUEST, request, CORRELATION_ID, timeoutMs);
		channel.pipeline()
			.addFirst(HANDLER, new TunnelClientHandler(this.codec, opening))
			.addFirst("nutmegdoor-frames", new LengthFieldBasedFrameDecoder(TunnelFrames.MAX_FRAME_BYTES, 0, 4, 0, 4));
		opening.start(channel, timeoutMs);
		TunnelFrames frames = new TunnelFrames(this.codec);
		// The handler takes only bytes for the replica.
		channel.pipeline().context("nutmegdoor-frames").write(frames.encode(hello));
		channel.pipeline().context("nutmegdoor-frames").writeAndFlush(frames.encode(requestFrame));
		// Reactor Netty reads only on demand of its own subscribers, which are not used
		// here.
		channel.config().setAutoRead(true);
	}

}
