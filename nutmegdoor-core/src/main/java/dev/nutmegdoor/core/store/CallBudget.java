package dev.nutmegdoor.core.store;

import dev.nutmegdoor.core.time.TimerService;

/**
 * Token bucket of the calls that this process may make. After an outage it starts empty
 * and its rate rises linearly over a window, so that the fleet does not return at once.
 */
final class CallBudget {

	/** Share of the full rate at the start of the window after an outage. */
	private static final double RESUME_SHARE = 0.1;

	private final TimerService timer;

	private final double callsPerSecond;

	private final int burst;

	private double tokens;

	private long updatedMs;

	private long resumedMs;

	private long resumeWindowMs;

	CallBudget(TimerService timer, double callsPerSecond, int burst) {
		this.timer = timer;
		this.callsPerSecond = callsPerSecond;
		this.burst = burst;
		this.tokens = burst;
		this.updatedMs = timer.nowMs();
		this.resumedMs = this.updatedMs;
	}

	boolean take() {
		refill();
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

	/**
	 * Returns the time until a call may be made.
	 * @return milliseconds, at least 1
	 */
	long waitMs() {
		refill();
		double missing = Math.max(0, 1 - this.tokens);
		return Math.max(1, (long) Math.ceil(missing * 1000 / rate()));
	}

	double tokens() {
		refill();
		return this.tokens;
	}

	void resume(long windowMs) {
		refill();
		this.tokens = Math.min(this.tokens, 1);
		this.resumedMs = this.timer.nowMs();
		this.resumeWindowMs = windowMs;
	}

	private void refill() {
		long nowMs = this.timer.nowMs();
		this.tokens = Math.min(this.burst, this.tokens + (nowMs - this.updatedMs) * rate() / 1000);
		this.updatedMs = nowMs;
	}

	private double rate() {
		long elapsedMs = this.timer.nowMs() - this.resumedMs;
		if (elapsedMs >= this.resumeWindowMs) {
			return this.callsPerSecond;
		}
		double share = RESUME_SHARE + (1 - RESUME_SHARE) * elapsedMs / this.resumeWindowMs;
		return this.callsPerSecond * share;
	}

}
