package dev.nutmegdoor.core.schedule;

/**
 * Limits retries to a fraction of the successful calls, so that retries don't multiply
 * the load of an overloaded pool.
 */
final class RetryBudget {

	/** Allows retries before any call has succeeded. */
	private static final double INITIAL_RETRIES = 10;

	private static final double MAX_RETRIES = 100;

	private final double retryShare;

	private double availableRetries = INITIAL_RETRIES;

	RetryBudget(double retryShare) {
		this.retryShare = retryShare;
	}

	void recordSuccess() {
		this.availableRetries = Math.min(MAX_RETRIES, this.availableRetries + this.retryShare);
	}

	boolean tryAcquire() {
		if (this.availableRetries < 1) {
			return false;
		}
		this.availableRetries -= 1;
		return true;
	}

}
