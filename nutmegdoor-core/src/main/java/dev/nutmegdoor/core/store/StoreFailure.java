package dev.nutmegdoor.core.store;

/**
 * Reason for a failed store call. Each reason defines whether the call may have taken
 * effect and whether a retry may succeed.
 */
public enum StoreFailure {

	/** The expected version did not match, or the object exists already. */
	CONFLICT(true, false),

	/** The object does not exist. */
	NOT_FOUND(true, false),

	/** The call was rejected without effect because the store is unavailable. */
	UNAVAILABLE(true, true),

	/** The call was rejected without effect because of a rate limit. */
	RATE_LIMITED(true, true),

	/** A watch requested changes that the store no longer retains. */
	HISTORY_GONE(true, false),

	/** The value is too large or malformed. */
	INVALID(true, false),

	/** No response was received: the change may or may not have taken effect. */
	OUTCOME_UNKNOWN(false, true);

	private final boolean withoutEffect;

	private final boolean retryable;

	StoreFailure(boolean withoutEffect, boolean retryable) {
		this.withoutEffect = withoutEffect;
		this.retryable = retryable;
	}

	/**
	 * Returns whether the failed call is certain not to have changed anything.
	 * @return {@code false} if the call may have taken effect
	 */
	public boolean isWithoutEffect() {
		return this.withoutEffect;
	}

	/**
	 * Returns whether the same call may succeed later without changes.
	 * @return {@code true} if the cause may be temporary
	 */
	public boolean isRetryable() {
		return this.retryable;
	}

}
