package dev.nutmegdoor.core.store;

import dev.nutmegdoor.core.time.TimerService;

/**
 * When the store last failed a call of this process. Used on the control thread.
 */
public final class StoreHealth {

	private final TimerService timer;

	private long lastFailureMs = Long.MIN_VALUE / 2;

	public StoreHealth(TimerService timer) {
		this.timer = timer;
	}

	/**
	 * Notes a failed call.
	 */
	public void recordFailure() {
		this.lastFailureMs = this.timer.nowMs();
	}

	/**
	 * Returns the time since the last failed call.
	 * @return milliseconds, a very large number if no call has failed
	 */
	public long timeSinceFailureMs() {
		return this.timer.nowMs() - this.lastFailureMs;
	}

}
