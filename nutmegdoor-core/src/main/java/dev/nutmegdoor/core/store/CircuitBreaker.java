package dev.nutmegdoor.core.store;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.time.TimerService;

/**
 * Stops calls during an outage. After a jittered delay it permits a single call as a
 * probe; each failed probe doubles the maximum delay up to a limit.
 */
final class CircuitBreaker {

	private final TimerService timer;

	private final UniformRandomProvider random;

	private final int failureThreshold;

	private final long minOpenMs;

	private final long maxOpenMs;

	private int consecutiveFailures;

	private int failedProbes;

	private boolean open;

	private boolean isProbeInFlight;

	private long nextProbeAtMs;

	private long openedCount;

	CircuitBreaker(TimerService timer, UniformRandomProvider random, CallBudgetSettings settings) {
		this.timer = timer;
		this.random = random;
		this.failureThreshold = settings.breakerFailures();
		this.minOpenMs = settings.breakerOpenMs();
		this.maxOpenMs = settings.breakerMaxOpenMs();
	}

	boolean isOpen() {
		return this.open;
	}

	/**
	 * Returns the number of times the breaker has opened.
	 * @return count since the start of the process
	 */
	long openedCount() {
		return this.openedCount;
	}

	/**
	 * Returns whether a call may be sent now. While the breaker is open, a permitted call
	 * becomes the probe and all other calls are rejected.
	 * @return {@code false} if the caller must fail the call without sending it
	 */
	boolean tryAcquirePermission() {
		if (!this.open) {
			return true;
		}
		if (this.isProbeInFlight || this.timer.nowMs() < this.nextProbeAtMs) {
			return false;
		}
		this.isProbeInFlight = true;
		return true;
	}

	/**
	 * Records that the platform responded, and closes the breaker.
	 * @return {@code true} if the breaker was open
	 */
	boolean recordSuccess() {
		boolean wasOpen = this.open;
		this.consecutiveFailures = 0;
		this.failedProbes = 0;
		this.open = false;
		this.isProbeInFlight = false;
		return wasOpen;
	}

	/**
	 * Records that the platform was unavailable or did not respond.
	 * @return {@code true} if this opens the breaker
	 */
	boolean recordFailure() {
		this.consecutiveFailures++;
		if (this.open) {
			if (this.isProbeInFlight) {
				this.isProbeInFlight = false;
				this.failedProbes++;
				scheduleNextProbe();
			}
			return false;
		}
		if (this.consecutiveFailures < this.failureThreshold) {
			return false;
		}
		this.open = true;
		this.openedCount++;
		scheduleNextProbe();
		return true;
	}

	private void scheduleNextProbe() {
		long maxDelayMs = Math.min(this.maxOpenMs, this.minOpenMs << Math.min(this.failedProbes + 1, 20));
		long minDelayMs = Math.min(this.minOpenMs, maxDelayMs);
		this.nextProbeAtMs = this.timer.nowMs() + minDelayMs + this.random.nextLong(maxDelayMs - minDelayMs + 1);
	}

}
