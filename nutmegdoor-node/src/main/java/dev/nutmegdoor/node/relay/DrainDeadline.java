package dev.nutmegdoor.node.relay;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Limits the time of requests that arrive while the instance stops, so that each of them
 * is answered before the process ends. Thread-safe.
 */
final class DrainDeadline {

	private static final long UNLIMITED_MS = Long.MAX_VALUE;

	private final LongSupplier clockNs;

	/** Written last, so that other threads see the fields below. */
	private volatile boolean isStarted;

	private long startedNs;

	private long durationMs;

	/**
	 * Creates a deadline that does not apply until {@link #start}.
	 * @param clockNs monotonic clock in nanoseconds
	 */
	DrainDeadline(LongSupplier clockNs) {
		this.clockNs = clockNs;
	}

	/**
	 * Starts the shutdown. Called once.
	 * @param graceMs time from now until the process is killed in milliseconds
	 */
	void start(long graceMs) {
		this.startedNs = this.clockNs.getAsLong();
		this.durationMs = Math.max(0, graceMs - GatewaySettings.GRACE_MARGIN_MS - GatewaySettings.ANSWER_MARGIN_MS);
		this.isStarted = true;
	}

	boolean isStarted() {
		return this.isStarted;
	}

	/**
	 * Returns the time until all requests must have been answered.
	 * @return time in milliseconds, 0 once it has passed; {@link Long#MAX_VALUE} if the
	 * instance does not stop
	 */
	long remainingMs() {
		return this.isStarted ? Math.max(0, this.durationMs - elapsedMs()) : UNLIMITED_MS;
	}

	/**
	 * Returns whether to reject a request that can last longer than the instance runs.
	 * While clients can't know yet that the instance stops, requests are accepted and
	 * their time is limited instead: almost all take a fraction of the time they may use.
	 * @param timeoutMs maximum duration of the request in milliseconds
	 * @return {@code true} if the request must not be started
	 */
	boolean isTooLate(long timeoutMs) {
		return this.isStarted && elapsedMs() >= GatewaySettings.DRAIN_NOTICE_MS && timeoutMs > remainingMs();
	}

	private long elapsedMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.clockNs.getAsLong() - this.startedNs);
	}

}
