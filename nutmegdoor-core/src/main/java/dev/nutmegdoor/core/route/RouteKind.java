package dev.nutmegdoor.core.route;

import dev.nutmegdoor.core.call.Repeatability;

/**
 * The operator's classification of the requests of a route.
 */
public enum RouteKind {

	/** Requests may run more than once. */
	SAFE(Repeatability.REPEATABLE, true, false),

	/** Requests run at most once for each client attempt and are not interrupted. */
	UNSAFE(Repeatability.AT_MOST_ONCE, false, false),

	/** The response is a stream of events; requests run at most once. */
	STREAM(Repeatability.AT_MOST_ONCE, true, true),

	/** The response is a stream of events that another replica can resume. */
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
	 * Returns whether a request is cancelled at the replica when the client disconnects.
	 * @return {@code true} if the request may be cancelled before it completes
	 */
	public boolean isInterruptible() {
		return this.isInterruptible;
	}

	public boolean isStream() {
		return this.isStream;
	}

}
