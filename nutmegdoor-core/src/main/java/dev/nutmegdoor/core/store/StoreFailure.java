package dev.nutmegdoor.core.store;

/**
 * Reason for a failed store call, with what a caller may conclude from it.
 */
public enum StoreFailure {

	/** The expected version did not match, or the object exists already. */
	CONFLICT(true, false),

	/** The object does not exist. */
	NOT_FOUND(true, false),

	/** The call was refused before it had any effect, because the store is out. */
	UNAVAILABLE(true, true),

	/** The call was refused before it had any effect, because of the rate limit. */
	RATE_LIMITED(true, true),

	/** A watch asked for changes that the store no longer keeps. */
	HISTORY_GONE(true, false),

	/** The value is too large or malformed. */
	INVALID(true, false),

	/** The answer was lost: the change may or may not have taken effect. */
	OUTCOME_UNKNOWN(false, true);

	private final boolean withoutEffect;

	private final boolean retryable;

	StoreFailure(boolean withoutEffect, boolean retryable) {
		this.withoutEffect = withoutEffect;
		this.retryable = retryable;
	}

	/**
	 * Returns whether the failed call certainly changed nothing.
	 * @return {@code true} if the call had no effect
	 */
	public boolean isWithoutEffect() {
		return this.withoutEffect;
	}

	/**
	 * Returns whether the same call may succeed later.
	 * @return {@code true} if a retry is sensible
	 */
	public boolean isRetryable() {
		return this.retryable;
	}

}
