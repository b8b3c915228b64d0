package dev.nutmegdoor.core.store;

import dev.nutmegdoor.core.time.TimerService;

/**
 * Token bucket that limits the calls of this process. After an outage it holds at most
 * one token and its rate rises linearly over a window, so that the instances of the fleet
 * do not all resume at the full rate simultaneously.
 */
final class CallBudget {

	/** Fraction of the full rate at the start of the window after an outage. */
	private static final double RESUME_RATE_FRACTION = 0.1;

	private final TimerService timer;

	private final double callsPerSecond;

	private final int burst;

	private double tokens;

	private long refilledAtMs;

	private long resumedAtMs;

	private long resumeWindowMs;

	CallBudget(TimerService timer, double callsPerSecond, int burst) {
		this.timer = timer;
		this.callsPerSecond = callsPerSecond;
		this.burst = burst;
		this.tokens = burst;
		this.refilledAtMs = timer.nowMs();
		this.resumedAtMs = this.refilledAtMs;
	}

	boolean tryAcquire() {
		refill();
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

	/**
	 * Returns the time until a token is available.
	 * @return milliseconds, at least 1
	 */
	long delayToNextCallMs() {
		refill();
		double missingTokens = Math.max(0, 1 - this.tokens);
		return Math.max(1, (long) Math.ceil(missingTokens * 1000 / currentCallsPerSecond()));
	}

	double tokens() {
		refill();
		return this.tokens;
	}

	void resume(long windowMs) {
		refill();
		this.tokens = Math.min(this.tokens, 1);
		this.resumedAtMs = this.timer.nowMs();
		this.resumeWindowMs = windowMs;
	}

	private void refill() {
		long nowMs = this.timer.nowMs();
		this.tokens = Math.min(this.burst, this.tokens + (nowMs - this.refilledAtMs) * currentCallsPerSecond() / 1000);
		this.refilledAtMs = nowMs;
	}

	private double currentCallsPerSecond() {
		long elapsedMs = this.timer.nowMs() - this.resumedAtMs;
		if (elapsedMs >= this.resumeWindowMs) {
			return this.callsPerSecond;
		}
		double rateFraction = RESUME_RATE_FRACTION + (1 - RESUME_RATE_FRACTION) * elapsedMs / this.resumeWindowMs;
		return this.callsPerSecond * rateFraction;
	}

}
