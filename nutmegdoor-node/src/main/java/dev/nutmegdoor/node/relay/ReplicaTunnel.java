package dev.nutmegdoor.node.relay;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.tunnel.TunnelAnswer;
import dev.nutmegdoor.core.tunnel.TunnelOutcome;
import dev.nutmegdoor.core.tunnel.TunnelRequest;
import dev.nutmegdoor.protocol.Frame;
import dev.nutmegdoor.protocol.FrameKind;
import dev.nutmegdoor.protocol.ProtocolException;

/**
 * One tunnel at the instance that reaches the replica: the handler of the connection from
 * the other instance. Both connections run on one event loop.
 */
final class ReplicaTunnel extends ChannelInboundHandlerAdapter {

	/**
	 * Time in milliseconds after the deadline of the request at which the tunnel is
	 * closed. The other instance closes it first unless it is unreachable.
	 */
	private static final long DEADLINE_MARGIN_MS = 500;

	private final ReplicaTunnelServer server;

	private final TunnelFrames frames;

	private final InstanceId peer;

	private final long correlationId;

	private final TunnelRequest request;

	private @Nullable Channel replicaChannel;

	private @Nullable ScheduledFuture<?> deadline;

	private boolean isConnected;

	private boolean isEnded;

	private int pendingWrites;

	ReplicaTunnel(ReplicaTunnelServer server, TunnelFrames frames, InstanceId peer, long correlationId,
			TunnelRequest request) {
		this.server = server;
		this.frames = frames;
		this.peer = peer;
		this.correlationId = correlationId;
		this.request = request;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		if (!this.server.isAvailable()) {
			refuse(context, TunnelOutcome.UNAVAILABLE, "");
			return;
		}
		Upstream replica = this.server.replica(this.request.replica());
		if (replica == null) {
			refuse(context, TunnelOutcome.UNKNOWN_REPLICA, "");
			return;
		}
		this.server.tunnelStarted();
		context.channel().closeFuture().addListener((closed) -> close());
		this.deadline = context.executor()
			.schedule(() -> context.close(), Math.max(0, this.request.timeLeftMs()) + DEADLINE_MARGIN_MS,
					TimeUnit.MILLISECONDS);
		ChannelFuture connecting = this.server.connector(context.channel().eventLoop())
			.handler(new ReplicaSide(context))
			.connect(new InetSocketAddress(replica.host(), replica.port()));
		this.replicaChannel = connecting.channel();
		connecting.addListener((future) -> connectionEnded(context, future.cause()));
	}

	private void connectionEnded(ChannelHandlerContext context, @Nullable Throwable error) {
		Channel replica = this.replicaChannel;
		if (!context.channel().isActive() || replica == null) {
			closeReplica();
			return;
		}
		if (error != null) {
			refuse(context, TunnelOutcome.REPLICA_UNREACHABLE, String.valueOf(error.getMessage()));
			return;
		}
		if (this.server.replica(this.request.replica()) == null) {
			// An evacuation or the start of a drain may have arrived during the connect.
			refuse(context, TunnelOutcome.UNKNOWN_REPLICA, "");
			closeReplica();
			return;
		}
		this.isConnected = true;
		context.writeAndFlush(answer(TunnelOutcome.CONNECTED));
		this.server.events()
			.record("tunnel.opened", "peer", this.peer, "replica", this.request.replica(), "timeLeftMs",
					this.request.timeLeftMs());
		replica.config().setAutoRead(true);
	}

	private void refuse(ChannelHandlerContext context, TunnelOutcome outcome, String error) {
		this.isEnded = true;
		this.server.events()
			.record("tunnel.refused", "peer", this.peer, "replica", this.request.replica(), "outcome", outcome, "error",
					error);
		context.writeAndFlush(answer(outcome)).addListener(ChannelFutureListener.CLOSE);
	}

	private ByteBuf answer(TunnelOutcome outcome) {
		return this.frames
			.encode(this.server.codec().frame(FrameKind.ANSWER, new TunnelAnswer(outcome), this.correlationId, 0));
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		Frame frame = this.frames.decode((ByteBuf) message);
		Channel replica = this.replicaChannel;
		if (this.isEnded || replica == null) {
			return;
		}
		if (frame.kind() != FrameKind.TUNNEL_DATA || !this.isConnected
				|| frame.body().length > TunnelFrames.MAX_DATA_BYTES) {
			throw new ProtocolException("frame " + frame.kind() + " of " + frame.body().length
					+ " bytes is not allowed in a tunnel" + (this.isConnected ? "" : " that is not open"));
		}
		this.pendingWrites++;
		replica.writeAndFlush(Unpooled.wrappedBuffer(frame.body())).addListener((written) -> {
			this.pendingWrites--;
			// A failed write closes the channel without an exception in its pipeline.
			if (!written.isSuccess()) {
				end(context, FrameKind.TUNNEL_RESET);
			}
		});
		updateReading(context.channel(), replica);
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		Channel replica = this.replicaChannel;
		if (replica != null && this.isConnected) {
			updateReading(replica, context.channel());
		}
		context.fireChannelWritabilityChanged();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	// After the end, the other instance is read until it closes.
	private void updateReading(Channel from, Channel to) {
		if (!this.isEnded) {
			from.config().setAutoRead(to.isWritable());
		}
	}

	// The other instance closes the connection after the frame: a close on this side
	// would reset it if bytes of the request are unread, and could discard the response.
	private void end(ChannelHandlerContext context, FrameKind kind) {
		if (this.isEnded) {
			return;
		}
		this.isEnded = true;
		context.writeAndFlush(this.frames.encode(kind));
		context.channel().config().setAutoRead(true);
		closeReplica();
	}

	private void close() {
		this.isEnded = true;
		ScheduledFuture<?> scheduled = this.deadline;
		if (scheduled != null) {
			scheduled.cancel(false);
		}
		closeReplica();
		this.server.tunnelClosed();
	}

	private void closeReplica() {
		Channel replica = this.replicaChannel;
		if (replica != null) {
			replica.close();
		}
	}

	/**
	 * Handler of the connection to the replica.
	 */
	private final class ReplicaSide extends ChannelInboundHandlerAdapter {

		private final ChannelHandlerContext peerContext;

		private ReplicaSide(ChannelHandlerContext peerContext) {
			this.peerContext = peerContext;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.peerContext.writeAndFlush(ReplicaTunnel.this.frames.encodeData((ByteBuf) message));
			updateReading(context.channel(), this.peerContext.channel());
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			updateReading(this.peerContext.channel(), context.channel());
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event == ChannelInputShutdownEvent.INSTANCE) {
				end(this.peerContext,
						(ReplicaTunnel.this.pendingWrites == 0) ? FrameKind.TUNNEL_END : FrameKind.TUNNEL_RESET);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			end(this.peerContext, FrameKind.TUNNEL_RESET);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			end(this.peerContext, FrameKind.TUNNEL_RESET);
		}

	}

}
