package dev.nutmegdoor.core.store;

import dev.nutmegdoor.core.time.TimerService;

/**
 * Records when the store last failed to answer this process, and for how long. Must be
 * used on the control thread.
 */
public final class StoreHealth {

	/**
	 * Duration in milliseconds from which failing calls count as an outage. The store may
	 * interrupt a single watch at any time, and the next call then succeeds within this
	 * time.
	 */
	private static final long MIN_OUTAGE_MS = 500;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final TimerService timer;

	private long lastFailureMs = NEVER_MS;

	private long failingSinceMs = NEVER_MS;

	private long lastOutageEndMs = NEVER_MS;

	private long lastOutageElsewhereMs = NEVER_MS;

	private boolean isFailing;

	public StoreHealth(TimerService timer) {
		this.timer = timer;
	}

	/**
	 * Records that a call has failed at the current time.
	 */
	public void recordFailure() {
		this.lastFailureMs = this.timer.nowMs();
		if (!this.isFailing) {
			this.isFailing = true;
			this.failingSinceMs = this.lastFailureMs;
		}
	}

	/**
	 * Records that the store has answered a call at the current time.
	 */
	public void recordSuccess() {
		if (isOutage()) {
			this.lastOutageEndMs = this.timer.nowMs();
		}
		this.isFailing = false;
	}

	/**
	 * Returns the time since a call last failed.
	 * @return milliseconds, a very large number if no call has failed
	 */
	public long timeSinceFailureMs() {
		return this.timer.nowMs() - this.lastFailureMs;
	}

	/**
	 * Returns the time since the store answered again after an outage.
	 * @return milliseconds, 0 during an outage, a very large number if there was none
	 */
	public long timeSinceOutageMs() {
		return isOutage() ? 0 : this.timer.nowMs() - Math.max(this.lastOutageEndMs, this.lastOutageElsewhereMs);
	}

	/**
	 * Returns whether only others have observed the latest outage.
	 * @return {@code false} if calls of this process failed
	 */
	public boolean isOutageElsewhere() {
		return !isOutage() && this.lastOutageElsewhereMs > this.lastOutageEndMs;
	}

	/**
	 * Records an outage that others have observed while this process made no calls.
	 * @param ageMs time since its end in milliseconds; 0 if it continues
	 */
	public void recordOutageElsewhere(long ageMs) {
		this.lastOutageElsewhereMs = Math.max(this.lastOutageElsewhereMs, this.timer.nowMs() - ageMs);
	}

	private boolean isOutage() {
		return this.isFailing && this.timer.nowMs() - this.failingSinceMs >= MIN_OUTAGE_MS;
	}

}
