package dev.nutmegdoor.core.store;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.time.TimerService;

/**
 * Stops calls during an outage. After a jittered pause it lets single calls through as
 * probes; each failed probe doubles the pause up to a limit.
 */
final class CircuitBreaker {

	private final TimerService timer;

	private final UniformRandomProvider random;

	private final int failuresToOpen;

	private final long openMs;

	private final long maxOpenMs;

	private int failures;

	private int failedProbes;

	private boolean open;

	private boolean probing;

	private long retryAtMs;

	private long opened;

	CircuitBreaker(TimerService timer, UniformRandomProvider random, CallBudgetSettings settings) {
		this.timer = timer;
		this.random = random;
		this.failuresToOpen = settings.breakerFailures();
		this.openMs = settings.breakerOpenMs();
		this.maxOpenMs = settings.breakerMaxOpenMs();
	}

	boolean isOpen() {
		return this.open;
	}

	/**
	 * Returns how often the breaker has opened.
	 * @return count since the start of the process
	 */
	long opened() {
		return this.opened;
	}

	/**
	 * Returns whether a call may be sent now. While the breaker is open, a positive
	 * answer makes the call the probe.
	 * @return {@code false} if the call must fail without being sent
	 */
	boolean tryPass() {
		if (!this.open) {
			return true;
		}
		if (this.probing || this.timer.nowMs() < this.retryAtMs) {
			return false;
		}
		this.probing = true;
		return true;
	}

	/**
	 * Records that the platform answered.
	 * @return {@code true} if this ends an outage
	 */
	boolean succeeded() {
		boolean wasOpen = this.open;
		this.failures = 0;
		this.failedProbes = 0;
		this.open = false;
		this.probing = false;
		return wasOpen;
	}

	/**
	 * Records that the platform did not answer.
	 * @return {@code true} if this opens the breaker
	 */
	boolean failed() {
		this.failures++;
		if (this.open) {
			if (this.probing) {
				this.probing = false;
				this.failedProbes++;
				pause();
			}
			return false;
		}
		if (this.failures < this.failuresToOpen) {
			return false;
		}
		this.open = true;
		this.opened++;
		pause();
		return true;
	}

	private void pause() {
		long longestMs = Math.min(this.maxOpenMs, this.openMs << Math.min(this.failedProbes + 1, 20));
		long shortestMs = Math.min(this.openMs, longestMs);
		this.retryAtMs = this.timer.nowMs() + shortestMs + this.random.nextLong(longestMs - shortestMs + 1);
	}

}
