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

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.route.RequestLimits;

/**
 * Closes a client's connection when it has been idle for too long or when the header of a
 * request takes too long to arrive. The timeouts are those of the active configuration.
 * Confined to the event loop of the connection.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

	private static final String REQUEST_TIMEOUT_RESPONSE = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

	private final Supplier<RequestLimits> limits;

	private final LongSupplier clockNs;

	private final EventLog events;

	private volatile @Nullable ChannelHandlerContext context;

	private @Nullable ScheduledFuture<?> expiryCheck;

	private Phase phase = Phase.IDLE;

	private long phaseStartedNs;

	private int openRequests;

	/**
	 * Creates the handler of one connection.
	 * @param limits supplies the limits of the active configuration
	 * @param clockNs monotonic clock in nanoseconds
	 * @param events receives an event for each connection that a timeout closes
	 */
	ClientConnection(Supplier<RequestLimits> limits, LongSupplier clockNs, EventLog events) {
		this.limits = limits;
		this.clockNs = clockNs;
		this.events = events;
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
	 * Records that the header of a request is complete.
	 */
	void requestStarted() {
		this.openRequests++;
		enterPhase(Phase.REQUEST);
	}

	/**
	 * Records that the handling of a request has ended.
	 */
	void requestEnded() {
		this.openRequests--;
		// A client may send the next request before the response to this one.
		if (this.openRequests == 0) {
			enterPhase(Phase.IDLE);
		}
	}

	/**
	 * Closes the connection unless a request is being received or handled, once all
	 * responses have been written. May be called from any thread.
	 */
	void closeIfIdle() {
		ChannelHandlerContext handlerContext = this.context;
		if (handlerContext != null) {
			handlerContext.executor().execute(() -> {
				if (this.phase == Phase.IDLE) {
					handlerContext.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
				}
			});
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
			this.expiryCheck = handlerContext.executor()
				.schedule(() -> expire(handlerContext), delayMs, TimeUnit.MILLISECONDS);
		}
	}

	// The configuration may have changed the timeout since the phase started.
	private void expire(ChannelHandlerContext handlerContext) {
		this.expiryCheck = null;
		long elapsedMs = TimeUnit.NANOSECONDS.toMillis(this.clockNs.getAsLong() - this.phaseStartedNs);
		long remainingMs = this.phase.limitMs(this.limits.get()) - elapsedMs;
		if (remainingMs > 0) {
			schedule(handlerContext, remainingMs);
		}
		else {
			this.events.record("client.timed-out", "phase", this.phase, "elapsedMs", elapsedMs, "openRequests",
					this.openRequests);
			this.phase.close(handlerContext);
		}
	}

	/**
	 * Phase of a connection, which determines its timeout.
	 */
	private enum Phase {

		/** Waiting for the first byte of a request. */
		IDLE {

			@Override
			long limitMs(RequestLimits limits) {
				return limits.idleTimeoutMs();
			}

		},

		/** Receiving the header of a request. */
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

		/** Handling requests, whose duration is limited elsewhere. */
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
