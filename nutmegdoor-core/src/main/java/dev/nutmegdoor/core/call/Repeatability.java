package dev.nutmegdoor.core.call;

/**
 * Whether a call may be sent to an upstream more than once.
 */
public enum Repeatability {

	/** The call has no lasting effect, or the same effect when repeated. */
	REPEATABLE(true),

	/** The call must run at most once; the intent is recorded before the call is sent. */
	AT_MOST_ONCE(false);

	private final boolean isRetryable;

	Repeatability(boolean isRetryable) {
		this.isRetryable = isRetryable;
	}

	public boolean isRetryable() {
		return this.isRetryable;
	}

}
