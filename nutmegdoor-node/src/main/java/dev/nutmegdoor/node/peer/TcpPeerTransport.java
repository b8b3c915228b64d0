package dev.nutmegdoor.node.peer;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.resolver.DefaultAddressResolverGroup;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpResources;
import reactor.netty.tcp.TcpServer;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerException;
import dev.nutmegdoor.core.peer.PeerFailure;
import dev.nutmegdoor.core.peer.PeerHandler;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.Subscription;
import dev.nutmegdoor.core.tunnel.TunnelRequest;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.protocol.Frame;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.FrameKind;
import dev.nutmegdoor.protocol.ProtocolException;

/**
 * Messages between instances over TCP. Each instance opens one connection to each peer it
 * sends to; answers come back on the connection of their request. Frames are decoded on
 * the traffic threads; handlers and futures run on the control thread.
 */
public final class TcpPeerTransport implements PeerTransport, AutoCloseable {

	private static final Logger logger = Logger.getLogger(TcpPeerTransport.class);

	private static final long ACKNOWLEDGEMENT_PERIOD_NS = TimeUnit.MILLISECONDS.toNanos(500);

	private final InstanceId self;

	private final PeerTransportSettings settings;

	private final FrameCodec codec;

	private final ControlThread control;

	private final PeerAddresses addresses;

	private final LoopResources loops;

	private final Map<Class<?>, PeerHandler<?>> handlers = new ConcurrentHashMap<>();

	private final Map<InstanceId, PeerConnection> connections = new ConcurrentHashMap<>();

	private final Map<Long, PendingRequest<?>> pending = new ConcurrentHashMap<>();

	private final AtomicLong correlationIds = new AtomicLong();

	private final AtomicLong sentFrames = new AtomicLong();

	private final AtomicLong sentBytes = new AtomicLong();

	private final AtomicLong droppedFrames = new AtomicLong();

	private @Nullable DisposableServer server;

	private volatile @Nullable TunnelAcceptor tunnelAcceptor;

	/**
	 * Creates a transport on event loops of its own.
	 * @param self this instance
	 * @param settings where to listen, and limits
	 * @param codec encodes frames
	 * @param control control thread, on which handlers run
	 * @param addresses addresses of other instances
	 */
	public TcpPeerTransport(InstanceId self, PeerTransportSettings settings, FrameCodec codec, ControlThread control,
			PeerAddresses addresses) {
		this(self, settings, codec, control, addresses, TcpResources.get());
	}

	/**
	 * Creates a transport.
	 * @param self this instance
	 * @param settings where to listen, and limits
	 * @param codec encodes frames
	 * @param control control thread, on which handlers run
	 * @param addresses addresses of other instances
	 * @param loops event loops of the connections
	 */
	public TcpPeerTransport(InstanceId self, PeerTransportSettings settings, FrameCodec codec, ControlThread control,
			PeerAddresses addresses, LoopResources loops) {
		this.self = self;
		this.settings = settings;
		this.codec = codec;
		this.control = control;
		this.addresses = addresses;
		this.loops = loops;
	}

	/**
	 * Starts to listen.
	 * @return the port that is bound
	 */
	public int start() {
		DisposableServer bound = TcpServer.create()
			.runOn(this.loops, false)
			.host(this.settings.host())
			.port(this.settings.port())
			.doOnConnection((connection) -> install(connection.channel(), new Inbound(null, null)))
			.bindNow();
		this.server = bound;
		return bound.port();
	}

	@Override
	public InstanceId self() {
		return this.self;
	}

	/**
	 * Returns the traffic of this transport since its start.
	 * @return a snapshot of the counters
	 */
	public PeerTraffic traffic() {
		return new PeerTraffic(this.sentFrames.get(), this.sentBytes.get(), this.droppedFrames.get());
	}

	@Override
	public void send(InstanceId to, PeerMessage message) {
		transmit(to, this.codec.encode(this.codec.frame(FrameKind.ONE_WAY, message, 0, 0)));
	}

	@Override
	public void sendAll(Collection<InstanceId> receivers, PeerMessage message) {
		if (!receivers.isEmpty()) {
			byte[] envelope = this.codec.encode(this.codec.frame(FrameKind.ONE_WAY, message, 0, 0));
			receivers.forEach((receiver) -> transmit(receiver, envelope));
		}
	}

	@Override
	public <A extends PeerMessage> CompletableFuture<A> request(InstanceId to, PeerMessage message, Class<A> answerType,
			long timeoutMs) {
		long id = this.correlationIds.incrementAndGet();
		PendingRequest<A> request = new PendingRequest<>(to, answerType);
		this.pending.put(id, request);
		request.timeout = this.control.schedule(timeoutMs,
				() -> fail(id, PeerFailure.TIMEOUT, "no answer from " + to + " within " + timeoutMs + " ms"));
		if (!transmit(to, this.codec.encode(this.codec.frame(FrameKind.REQUEST, message, id, timeoutMs)))) {
			this.control.execute(() -> fail(id, PeerFailure.NOT_SENT, "no connection to " + to));
		}
		return request.result;
	}

	@Override
	public <M extends PeerMessage> void subscribe(Class<M> type, PeerHandler<M> handler) {
		if (this.handlers.putIfAbsent(type, handler) != null) {
			throw new IllegalStateException("a handler for " + type.getSimpleName() + " is registered already");
		}
	}

	/**
	 * Accepts tunnels; without an acceptor they are refused like other requests without a
	 * handler.
	 * @param acceptor receives the requests for tunnels
	 */
	public void acceptTunnels(TunnelAcceptor acceptor) {
		this.tunnelAcceptor = acceptor;
	}

	@Override
	public void close() {
		DisposableServer bound = this.server;
		if (bound != null) {
			bound.disposeNow();
		}
		this.connections.values().forEach(PeerConnection::close);
		this.connections.clear();
	}

	private boolean transmit(InstanceId to, byte[] envelope) {
		PeerConnection connection = connectionTo(to);
		if (connection == null || !connection.send(envelope)) {
			this.droppedFrames.incrementAndGet();
			return false;
		}
		count(envelope);
		return true;
	}

	private void count(byte[] envelope) {
		this.sentFrames.incrementAndGet();
		this.sentBytes.addAndGet(envelope.length + 4L);
	}

	private @Nullable PeerConnection connectionTo(InstanceId to) {
		PeerConnection existing = this.connections.get(to);
		if (existing != null && !existing.isClosed()) {
			return existing;
		}
		InetSocketAddress address = this.addresses.addressOf(to);
		if (address == null) {
			return null;
		}
		PeerConnection created = new PeerConnection(this.settings.maxQueuedFrames());
		this.connections.put(to, created);
		connect(to, address, created);
		return created;
	}

	private void connect(InstanceId to, InetSocketAddress address, PeerConnection connection) {
		byte[] hello = this.codec
			.encode(Frame.hello(this.self.value(), this.addresses.isIdentityKnown(to) ? to.value() : "",
					this.settings.sharedSecret().getBytes(StandardCharsets.UTF_8)));
		TcpClient.newConnection()
			.resolver(DefaultAddressResolverGroup.INSTANCE)
			.runOn(this.loops, false)
			.remoteAddress(() -> address)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.settings.connectTimeoutMs())
			.connect()
			.subscribe((established) -> {
				install(established.channel(), new Inbound(to, connection));
				established.onDispose(() -> disconnected(to, connection));
				connection.open(established.channel(), hello);
			}, (error) -> {
				logger.debugf("event=peer.connect_failed peer=%s address=%s error=\"%s\"", to, address,
						error.getMessage());
				disconnected(to, connection);
			});
	}

	private void disconnected(InstanceId to, PeerConnection connection) {
		connection.close();
		this.connections.remove(to, connection);
		this.control.execute(() -> failAll(to));
	}

	private void failAll(InstanceId to) {
		Iterator<Map.Entry<Long, PendingRequest<?>>> iterator = this.pending.entrySet().iterator();
		while (iterator.hasNext()) {
			Map.Entry<Long, PendingRequest<?>> entry = iterator.next();
			if (entry.getValue().to.equals(to)) {
				iterator.remove();
				entry.getValue().cancelTimeout();
				// The request may have been written before the connection broke.
				entry.getValue().result.completeExceptionally(
						new PeerException(PeerFailure.TIMEOUT, "connection to " + to + " was closed or not made"));
			}
		}
	}

	private void fail(long correlationId, PeerFailure failure, String message) {
		PendingRequest<?> request = this.pending.remove(correlationId);
		if (request != null) {
			request.cancelTimeout();
			request.result.completeExceptionally(new PeerException(failure, message));
		}
	}

	private void install(Channel channel, Inbound inbound) {
		ChannelPipeline pipeline = channel.pipeline();
		pipeline.addFirst("nutmegdoor-frames",
				new LengthFieldBasedFrameDecoder(FrameCodec.MAX_FRAME_BYTES, 0, 4, 0, 4));
		pipeline.addAfter("nutmegdoor-frames", "nutmegdoor-inbound", inbound);
		// Reactor Netty reads only on demand of its own subscribers; here the handler
		// reads.
		channel.config().setAutoRead(true);
	}

	@SuppressWarnings("unchecked")
	private void dispatch(Channel channel, InstanceId from, Frame frame, PeerMessage message) {
		PeerHandler<PeerMessage> handler = (PeerHandler<PeerMessage>) this.handlers.get(message.getClass());
		if (handler == null) {
			answerError(channel, frame, "no handler for " + frame.type());
			return;
		}
		CompletableFuture<? extends PeerMessage> answer = handler.handle(from, message);
		if (answer == null || frame.kind() != FrameKind.REQUEST) {
			return;
		}
		answer.whenComplete((value, error) -> {
			if (error != null) {
				answerError(channel, frame, String.valueOf(error.getMessage()));
			}
			else {
				write(channel, this.codec.frame(FrameKind.ANSWER, value, frame.correlationId(), 0));
			}
		});
	}

	private void answerError(Channel channel, Frame request, String text) {
		if (request.kind() == FrameKind.REQUEST) {
			write(channel,
					new Frame(FrameKind.ERROR, "", request.correlationId(), 0, text.getBytes(StandardCharsets.UTF_8)));
		}
	}

	private void write(Channel channel, Frame frame) {
		byte[] envelope = this.codec.encode(frame);
		if (!channel.isWritable() && channel.bytesBeforeUnwritable() <= -FrameCodec.MAX_FRAME_BYTES) {
			this.droppedFrames.incrementAndGet();
			return;
		}
		ByteBuf buffer = channel.alloc().buffer(envelope.length + 4);
		buffer.writeInt(envelope.length).writeBytes(envelope);
		channel.writeAndFlush(buffer);
		count(envelope);
	}

	private void complete(Frame frame, @Nullable PeerMessage message) {
		PendingRequest<?> request = this.pending.remove(frame.correlationId());
		if (request == null) {
			return;
		}
		request.cancelTimeout();
		if (frame.kind() == FrameKind.ERROR || message == null) {
			request.result.completeExceptionally(new PeerException(PeerFailure.REMOTE_ERROR,
					request.to + " answered: " + new String(frame.body(), StandardCharsets.UTF_8)));
			return;
		}
		request.complete(message);
	}

	private static final class PendingRequest<A extends PeerMessage> {

		private final InstanceId to;

		private final Class<A> answerType;

		private final CompletableFuture<A> result = new CompletableFuture<>();

		private volatile @Nullable Subscription timeout;

		private PendingRequest(InstanceId to, Class<A> answerType) {
			this.to = to;
			this.answerType = answerType;
		}

		// A timer that is left behind wakes the control thread for nothing.
		private void cancelTimeout() {
			Subscription current = this.timeout;
			if (current != null) {
				current.cancel();
			}
		}

		private void complete(PeerMessage message) {
			if (this.answerType.isInstance(message)) {
				this.result.complete(this.answerType.cast(message));
			}
			else {
				this.result.completeExceptionally(new PeerException(PeerFailure.REMOTE_ERROR,
						this.to + " answered with " + message.getClass().getSimpleName()));
			}
		}

	}

	/**
	 * Decodes the frames of one connection.
	 */
	private final class Inbound extends SimpleChannelInboundHandler<ByteBuf> {

		/** Peer at the other end; unknown on accepted connections until its hello. */
		private final @Nullable PeerConnection connection;

		private @Nullable InstanceId peer;

		/** Instance that the peer means to reach; empty if that is this one. */
		private String otherReceiver = "";

		private long acknowledgedNs = System.nanoTime() - ACKNOWLEDGEMENT_PERIOD_NS;

		private Inbound(@Nullable InstanceId peer, @Nullable PeerConnection connection) {
			this.peer = peer;
			this.connection = connection;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
			byte[] bytes = new byte[buffer.readableBytes()];
			buffer.readBytes(bytes);
			Frame frame = TcpPeerTransport.this.codec.decode(bytes);
			InstanceId from = this.peer;
			if (from == null) {
				this.peer = authenticate(frame);
				return;
			}
			if (this.connection != null) {
				this.connection.received();
			}
			if (frame.kind() == FrameKind.ACKNOWLEDGEMENT) {
				return;
			}
			if (!this.otherReceiver.isEmpty()) {
				answerError(context.channel(), frame, this.otherReceiver + " has ended; " + TcpPeerTransport.this.self
						+ " now runs at its address and has not run the request");
				return;
			}
			acknowledge(context.channel(), frame);
			PeerMessage message = (frame.kind() != FrameKind.ERROR) ? TcpPeerTransport.this.codec.message(frame) : null;
			if (frame.kind() == FrameKind.ANSWER || frame.kind() == FrameKind.ERROR) {
				TcpPeerTransport.this.control.execute(() -> complete(frame, message));
			}
			else if (message == null) {
				answerError(context.channel(), frame, "unknown type " + frame.type());
			}
			else if (message instanceof TunnelRequest request && acceptsTunnel(frame)) {
				openTunnel(context, from, frame, request);
			}
			else {
				TcpPeerTransport.this.control.execute(() -> dispatch(context.channel(), from, frame, message));
			}
		}

		private boolean acceptsTunnel(Frame frame) {
			return frame.kind() == FrameKind.REQUEST && this.connection == null
					&& TcpPeerTransport.this.tunnelAcceptor != null;
		}

		// A replacement receives the frames that were read together with the request.
		private void openTunnel(ChannelHandlerContext context, InstanceId from, Frame frame, TunnelRequest request) {
			TunnelAcceptor acceptor = Objects.requireNonNull(TcpPeerTransport.this.tunnelAcceptor);
			context.pipeline()
				.replace(this, "nutmegdoor-tunnel", acceptor.accept(from, frame.correlationId(), request));
		}

		private void acknowledge(Channel channel, Frame frame) {
			long nowNs = System.nanoTime();
			if (frame.kind() == FrameKind.ONE_WAY && nowNs - this.acknowledgedNs >= ACKNOWLEDGEMENT_PERIOD_NS) {
				this.acknowledgedNs = nowNs;
				write(channel, new Frame(FrameKind.ACKNOWLEDGEMENT, "", 0, 0, new byte[0]));
			}
		}

		private InstanceId authenticate(Frame frame) {
			byte[] expected = TcpPeerTransport.this.settings.sharedSecret().getBytes(StandardCharsets.UTF_8);
			if (frame.kind() != FrameKind.HELLO || !MessageDigest.isEqual(expected, frame.body())) {
				throw new ProtocolException("connection without a valid hello");
			}
			InstanceId sender = new InstanceId(frame.type());
			String receiver = frame.receiver();
			if (!receiver.isEmpty() && !receiver.equals(TcpPeerTransport.this.self.value())) {
				logger.infof("event=peer.misaddressed peer=%s receiver=%s self=%s", sender, receiver,
						TcpPeerTransport.this.self);
				this.otherReceiver = receiver;
			}
			return sender;
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			logger.warnf("event=peer.connection_failed remote=%s error=\"%s\"", context.channel().remoteAddress(),
					cause.getMessage());
			context.close();
		}

	}

}
