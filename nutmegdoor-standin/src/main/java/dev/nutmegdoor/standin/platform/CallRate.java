package dev.nutmegdoor.standin.platform;

/**
 * Token bucket with a capacity of one second of calls.
 */
final class CallRate {

	private final int callsPerSecond;

	private double tokens;

	private long updatedMs;

	CallRate(int callsPerSecond) {
		this.callsPerSecond = callsPerSecond;
		this.tokens = callsPerSecond;
	}

	synchronized boolean take(long nowMs) {
		double refill = (nowMs - this.updatedMs) * (double) this.callsPerSecond / 1000;
		this.tokens = Math.min(this.callsPerSecond, this.tokens + refill);
		this.updatedMs = nowMs;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
