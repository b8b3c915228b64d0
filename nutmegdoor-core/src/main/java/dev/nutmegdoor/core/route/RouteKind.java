package dev.nutmegdoor.core.route;

import dev.nutmegdoor.core.call.Repeatability;

/**
 * What the operator says of the requests of a route.
 */
public enum RouteKind {

	/** May run more than once. */
	SAFE(Repeatability.REPEATABLE, true, false),

	/** May run at most once for each attempt of a client, and is left to finish. */
	UNSAFE(Repeatability.AT_MOST_ONCE, false, false),

	/** Answers with a series of events; may run at most once. */
	STREAM(Repeatability.AT_MOST_ONCE, true, true),

	/** Answers with a series of events that another replica can continue. */
	RESUMABLE_STREAM(Repeatability.REPEATABLE, true, true);

	private final Repeatability repeatability;

	private final boolean isInterruptible;

	private final boolean isStream;

	RouteKind(Repeatability repeatability, boolean isInterruptible, boolean isStream) {
		this.repeatability = repeatability;
		this.isInterruptible = isInterruptible;
		this.isStream = isStream;
	}

	public Repeatability repeatability() {
		return this.repeatability;
	}

	/**
	 * Returns whether a replica is told to stop when the client has gone.
	 * @return {@code true} if it is
	 */
	public boolean isInterruptible() {
		return this.isInterruptible;
	}

	public boolean isStream() {
		return this.isStream;
	}

}
