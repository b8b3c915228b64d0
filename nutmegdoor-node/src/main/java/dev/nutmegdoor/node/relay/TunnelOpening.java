package dev.nutmegdoor.node.relay;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.tunnel.TunnelOutcome;

/**
 * The opening of one tunnel, which succeeds, fails or is cancelled once.
 */
final class TunnelOpening {

	private final String failurePrefix;

	private final Consumer<Channel> onConnected;

	private final Consumer<TunnelFailure> onFailure;

	private final AtomicBoolean isSettled = new AtomicBoolean();

	private volatile @Nullable Channel channel;

	private @Nullable ScheduledFuture<?> timeout;

	TunnelOpening(String failurePrefix, Consumer<Channel> onConnected, Consumer<TunnelFailure> onFailure) {
		this.failurePrefix = failurePrefix;
		this.onConnected = onConnected;
		this.onFailure = onFailure;
	}

	/**
	 * Starts to wait for the answer on a channel.
	 * @param opened channel to the other instance
	 * @param timeoutMs maximum time to wait in milliseconds
	 */
	void start(Channel opened, long timeoutMs) {
		this.channel = opened;
		this.timeout = opened.eventLoop()
			.schedule(() -> fail("no answer within the time to open it"), timeoutMs, TimeUnit.MILLISECONDS);
		if (this.isSettled.get()) {
			closeChannel();
		}
	}

	/**
	 * Passes the channel on, unless the opening has failed or been cancelled.
	 * @param opened channel to the replica
	 * @return whether the channel was passed on
	 */
	boolean succeed(Channel opened) {
		if (!this.isSettled.compareAndSet(false, true)) {
			return false;
		}
		stopTimeout();
		this.onConnected.accept(opened);
		return true;
	}

	/**
	 * Closes the channel and reports that the other instance opened no tunnel, unless the
	 * opening has ended.
	 * @param outcome answer of the other instance
	 */
	void refused(TunnelOutcome outcome) {
		fail(String.valueOf(outcome), outcome == TunnelOutcome.UNAVAILABLE);
	}

	/**
	 * Closes the channel and reports that the other instance did not answer, unless the
	 * opening has ended.
	 * @param reason why there is no answer
	 */
	void fail(String reason) {
		fail(reason, true);
	}

	private void fail(String reason, boolean isPeerUnavailable) {
		if (this.isSettled.compareAndSet(false, true)) {
			closeChannel();
			this.onFailure.accept(new TunnelFailure(this.failurePrefix + reason, isPeerUnavailable));
		}
	}

	void cancel() {
		if (this.isSettled.compareAndSet(false, true)) {
			closeChannel();
		}
	}

	private void closeChannel() {
		Channel opened = this.channel;
		if (opened != null) {
			stopTimeout();
			opened.close();
		}
	}

	private void stopTimeout() {
		ScheduledFuture<?> scheduled = this.timeout;
		if (scheduled != null) {
			scheduled.cancel(false);
		}
	}

}
