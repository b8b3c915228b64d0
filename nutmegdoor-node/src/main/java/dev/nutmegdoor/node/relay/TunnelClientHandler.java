package dev.nutmegdoor.node.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

import dev.nutmegdoor.core.tunnel.TunnelAnswer;
import dev.nutmegdoor.core.tunnel.TunnelOutcome;
import dev.nutmegdoor.protocol.Frame;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.FrameKind;
import dev.nutmegdoor.protocol.ProtocolException;

/**
 * One tunnel at the instance that sends the request. Passes plain bytes of the replica on
 * and wraps those to it into frames. The handlers behind it see a close without an
 * exception only if the replica closed its connection in order, because that is the end
 * of a response without a length.
 */
final class TunnelClientHandler extends ChannelDuplexHandler {

	private final FrameCodec codec;

	private final TunnelFrames frames;

	private final TunnelOpening opening;

	private boolean isConnected;

	/** Whether the handlers behind have seen how the connection of the replica ended. */
	private boolean isEnded;

	/**
	 * Creates a handler.
	 * @param codec codec that knows the messages of tunnels
	 * @param opening is notified of the answer or of a failure before it
	 */
	TunnelClientHandler(FrameCodec codec, TunnelOpening opening) {
		this.codec = codec;
		this.frames = new TunnelFrames(codec);
		this.opening = opening;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		Frame frame = this.frames.decode((ByteBuf) message);
		if (this.isEnded) {
			return;
		}
		if (!this.isConnected) {
			answerReceived(context, frame);
			return;
		}
		switch (frame.kind()) {
			case TUNNEL_DATA -> context.fireChannelRead(Unpooled.wrappedBuffer(frame.body()));
			case TUNNEL_END -> {
				this.isEnded = true;
				context.close();
			}
			case TUNNEL_RESET -> fail(context, new IOException("the connection of the tunnel to the replica failed"));
			default -> throw new ProtocolException("frame " + frame.kind() + " is not allowed in a tunnel");
		}
	}

	private void answerReceived(ChannelHandlerContext context, Frame frame) {
		if (frame.kind() == FrameKind.ERROR) {
			this.opening.fail(new String(frame.body(), StandardCharsets.UTF_8));
			return;
		}
		if (frame.kind() != FrameKind.ANSWER || !(this.codec.message(frame) instanceof TunnelAnswer answer)) {
			throw new ProtocolException("frame " + frame.kind() + " is not the answer to the request for a tunnel");
		}
		if (answer.outcome() != TunnelOutcome.CONNECTED) {
			this.opening.refused(answer.outcome());
			return;
		}
		this.isConnected = true;
		if (!this.opening.succeed(context.channel())) {
			this.isEnded = true;
			context.close();
		}
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (!this.isConnected || !(message instanceof ByteBuf bytes)) {
			ReferenceCountUtil.release(message);
			promise.setFailure(new IOException("a tunnel takes bytes once it is open"));
			return;
		}
		context.write(this.frames.encodeData(bytes), promise);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (this.isConnected) {
			fail(context, cause);
		}
		else {
			this.opening.fail(cause.toString());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (!this.isConnected) {
			this.opening.fail("the instance closed the connection");
		}
		else if (!this.isEnded) {
			fail(context, new IOException("the tunnel closed before the replica's connection ended"));
		}
		context.fireChannelInactive();
	}

	private void fail(ChannelHandlerContext context, Throwable cause) {
		if (!this.isEnded) {
			this.isEnded = true;
			context.fireExceptionCaught(
					(cause instanceof IOException) ? cause : new IOException("the tunnel failed: " + cause, cause));
			context.close();
		}
	}

}
