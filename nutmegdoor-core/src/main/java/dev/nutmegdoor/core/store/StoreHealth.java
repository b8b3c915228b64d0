package dev.nutmegdoor.core.store;

import dev.nutmegdoor.core.time.TimerService;

/**
 * Records when a store call of this process last failed. Must be used on the control
 * thread.
 */
public final class StoreHealth {

	private final TimerService timer;

	private long lastFailureMs = Long.MIN_VALUE / 2;

	public StoreHealth(TimerService timer) {
		this.timer = timer;
	}

	/**
	 * Records that a call has failed at the current time.
	 */
	public void recordFailure() {
		this.lastFailureMs = this.timer.nowMs();
	}

	/**
	 * Returns the time since a call last failed.
	 * @return milliseconds, a very large number if no call has failed
	 */
	public long timeSinceFailureMs() {
		return this.timer.nowMs() - this.lastFailureMs;
	}

}
