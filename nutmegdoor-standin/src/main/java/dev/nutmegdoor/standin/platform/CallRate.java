package dev.nutmegdoor.standin.platform;

/**
 * Token bucket that allows bursts of one second of calls. Safe for use by several
 * threads.
 */
final class CallRate {

	private final int callsPerSecond;

	private double tokens;

	private long updatedMs;

	CallRate(int callsPerSecond) {
		this.callsPerSecond = callsPerSecond;
		this.tokens = callsPerSecond;
	}

	synchronized boolean tryAcquire(long nowMs) {
		double refilledTokens = (nowMs - this.updatedMs) * (double) this.callsPerSecond / 1000;
		this.tokens = Math.min(this.callsPerSecond, this.tokens + refilledTokens);
		this.updatedMs = nowMs;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
