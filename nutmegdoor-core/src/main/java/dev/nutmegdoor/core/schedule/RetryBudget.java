package dev.nutmegdoor.core.schedule;

/**
 * Bounds retries to a share of the successes, so that retries don't multiply the load of
 * an overloaded pool.
 */
final class RetryBudget {

	/** Allows retries before the first successes. */
	private static final double INITIAL = 10;

	private static final double MAX = 100;

	private final double share;

	private double balance = INITIAL;

	RetryBudget(double share) {
		this.share = share;
	}

	void succeeded() {
		this.balance = Math.min(MAX, this.balance + this.share);
	}

	boolean take() {
		if (this.balance < 1) {
			return false;
		}
		this.balance -= 1;
		return true;
	}

}
