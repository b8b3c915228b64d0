package dev.nutmegdoor.node.relay;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.route.RequestLimits;

/**
 * Bounds how long a client's connection may stay idle and how long the header of a
 * request may take, by the figures of the configuration in force. Confined to the event
 * loop of the connection.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

	private static final String REQUEST_TIMEOUT_RESPONSE = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

	private final Supplier<RequestLimits> limits;

	private final LongSupplier clockNs;

	private @Nullable ChannelHandlerContext context;

	private @Nullable ScheduledFuture<?> expiryCheck;

	private Phase phase = Phase.IDLE;

	private long phaseStartedNs;

	private int openRequests;

	/**
	 * Creates the handler of one connection.
	 * @param limits limits of the configuration in force
	 * @param clockNs steady time in nanoseconds
	 */
	ClientConnection(Supplier<RequestLimits> limits, LongSupplier clockNs) {
		this.limits = limits;
		this.clockNs = clockNs;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext handlerContext) {
		this.context = handlerContext;
		enterPhase(Phase.IDLE);
	}

	@Override
	public void channelRead(ChannelHandlerContext handlerContext, Object message) {
		if (this.phase == Phase.IDLE) {
			enterPhase(Phase.HEADER);
		}
		handlerContext.fireChannelRead(message);
	}

	@Override
	public void channelInactive(ChannelHandlerContext handlerContext) {
		enterPhase(Phase.REQUEST);
		handlerContext.fireChannelInactive();
	}

	/**
	 * Notes that the header of a request is complete.
	 */
	void requestStarted() {
		this.openRequests++;
		enterPhase(Phase.REQUEST);
	}

	/**
	 * Notes that a request has been answered.
	 */
	void requestEnded() {
		this.openRequests--;
		// A client may have sent the next request before the answer to this one.
		if (this.openRequests == 0) {
			enterPhase(Phase.IDLE);
		}
	}

	private void enterPhase(Phase next) {
		this.phase = next;
		this.phaseStartedNs = this.clockNs.getAsLong();
		if (this.expiryCheck != null) {
			this.expiryCheck.cancel(false);
			this.expiryCheck = null;
		}
		ChannelHandlerContext handlerContext = this.context;
		if (handlerContext != null && handlerContext.channel().isActive()) {
			schedule(handlerContext, next.limitMs(this.limits.get()));
		}
	}

	private void schedule(ChannelHandlerContext handlerContext, long delayMs) {
		if (delayMs < Phase.UNLIMITED_MS) {
			this.expiryCheck = handlerContext.executor().schedule(() -> expire(handlerContext), delayMs, TimeUnit.MILLISECONDS);
		}
	}

	// The limit may have changed since the phase began.
	private void expire(ChannelHandlerContext handlerContext) {
		this.expiryCheck = null;
		long elapsedMs = TimeUnit.NANOSECONDS.toMillis(this.clockNs.getAsLong() - this.phaseStartedNs);
		long remainingMs = this.phase.limitMs(this.limits.get()) - elapsedMs;
		if (remainingMs > 0) {
			schedule(handlerContext, remainingMs);
		}
		else {
			this.phase.close(handlerContext);
		}
	}

	/**
	 * What a connection is doing.
	 */
	private enum Phase {

		/** Waits for the first byte of a request. */
		IDLE {

			@Override
			long limitMs(RequestLimits limits) {
				return limits.idleTimeoutMs();
			}

		},

		/** Receives the header of a request. */
		HEADER {

			@Override
			long limitMs(RequestLimits limits) {
				return limits.headerTimeoutMs();
			}

			@Override
			void close(ChannelHandlerContext handlerContext) {
				handlerContext.writeAndFlush(Unpooled.copiedBuffer(REQUEST_TIMEOUT_RESPONSE, StandardCharsets.US_ASCII))
					.addListener(ChannelFutureListener.CLOSE);
			}

		},

		/** Handles a request, whose own time is bounded elsewhere. */
		REQUEST {

			@Override
			long limitMs(RequestLimits limits) {
				return UNLIMITED_MS;
			}

		};

		private static final long UNLIMITED_MS = Long.MAX_VALUE;

		abstract long limitMs(RequestLimits limits);

		void close(ChannelHandlerContext handlerContext) {
			handlerContext.close();
		}

	}

}
