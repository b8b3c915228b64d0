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
	public static final long MIN_OUTAGE_MS = 500;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final TimerService timer;

	private long lastFailureMs = NEVER_MS;

	private long failingSinceMs = NEVER_MS;

	private long lastOutageEndMs = NEVER_MS;

	private long lastAnswerMs = NEVER_MS;

	private long outageElsewhereStartMs = NEVER_MS;

	private long outageElsewhereEndMs = NEVER_MS;

	private boolean isOutageElsewhereOngoing;

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
	 * Records that the store has answered a call at the current time. What others take
	 * for an outage at that time is none of the store.
	 */
	public void recordSuccess() {
		recordSuccessElsewhere();
		this.lastAnswerMs = this.timer.nowMs();
		if (this.isOutageElsewhereOngoing && hasAnsweredSince(this.outageElsewhereStartMs)) {
			this.outageElsewhereEndMs = NEVER_MS;
			this.isOutageElsewhereOngoing = false;
		}
	}

	/**
	 * Records that the store answers others, from whom this process receives changes.
	 */
	public void recordSuccessElsewhere() {
		if (isOutage()) {
			this.lastOutageEndMs = this.timer.nowMs();
		}
		this.isFailing = false;
	}

	/**
	 * Returns whether the store has answered this process, and no call has failed, since
	 * others began to observe an outage.
	 * @param startMs time in milliseconds since which their calls have failed
	 * @return {@code true} if it is not the store that is out
	 */
	public boolean hasAnsweredSince(long startMs) {
		return this.lastAnswerMs >= startMs && this.lastFailureMs < startMs;
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
		return Math.min(timeSinceOwnOutageMs(), this.timer.nowMs() - this.outageElsewhereEndMs);
	}

	/**
	 * Returns the time since the store answered this process again after an outage.
	 * @return milliseconds, 0 during an outage, a very large number if only others have
	 * observed one
	 */
	public long timeSinceOwnOutageMs() {
		return isOutage() ? 0 : this.timer.nowMs() - this.lastOutageEndMs;
	}

	/**
	 * Returns whether only others have observed the latest outage.
	 * @return {@code false} if calls of this process failed
	 */
	public boolean isOutageElsewhere() {
		return timeSinceOutageMs() < timeSinceOwnOutageMs();
	}

	/**
	 * Records an outage that others have observed while this process made no calls.
	 * @param startMs time in milliseconds since which their calls have failed
	 * @param ageMs time since its end in milliseconds; 0 if it continues
	 */
	public void recordOutageElsewhere(long startMs, long ageMs) {
		this.outageElsewhereStartMs = startMs;
		this.outageElsewhereEndMs = Math.max(this.outageElsewhereEndMs, this.timer.nowMs() - ageMs);
		this.isOutageElsewhereOngoing = ageMs == 0;
	}

	private boolean isOutage() {
		return this.isFailing && this.timer.nowMs() - this.failingSinceMs >= MIN_OUTAGE_MS;
	}

}
