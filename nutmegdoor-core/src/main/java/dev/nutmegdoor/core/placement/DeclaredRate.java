package dev.nutmegdoor.core.placement;

/**
 * Limits the requests of this instance to a replica that has declared the rate it accepts
 * from all instances. The token bucket holds at most one token and is empty when the rate
 * is declared, so that instances do not all send at the same time. Not thread-safe.
 */
final class DeclaredRate {

	private static final double MAX_TOKENS = 1;

	private static final double MS_PER_SECOND = 1_000;

	private double requestsPerSecond;

	private double ownRequestsPerSecond;

	private double tokens;

	private long refilledMs;

	private long observedMs = Long.MIN_VALUE / 2;

	private long validUntilMs = Long.MIN_VALUE / 2;

	/**
	 * Sets or confirms the rate, unless a later observation is known.
	 * @param declaredRequestsPerSecond rate that the replica has declared
	 * @param ownShareRequestsPerSecond part of it that this instance may use
	 * @param declaredMs time in milliseconds at which the replica declared it
	 * @param validForMs time in milliseconds after which the rate ends unless it is
	 * declared again
	 * @param nowMs current time in milliseconds
	 * @return whether no rate applied before
	 */
	boolean declare(double declaredRequestsPerSecond, double ownShareRequestsPerSecond, long declaredMs,
			long validForMs, long nowMs) {
		if (declaredMs < this.observedMs) {
			return false;
		}
		boolean isNew = requestsPerSecond(nowMs) == 0;
		refill(nowMs);
		if (isNew) {
			this.tokens = 0;
		}
		this.requestsPerSecond = declaredRequestsPerSecond;
		this.ownRequestsPerSecond = ownShareRequestsPerSecond;
		this.observedMs = declaredMs;
		this.validUntilMs = nowMs + validForMs;
		return isNew;
	}

	/**
	 * Ends the rate, unless a later observation is known.
	 * @param answeredMs time in milliseconds after which the replica has answered without
	 * a rate
	 * @param nowMs current time in milliseconds
	 * @return whether a rate applied before
	 */
	boolean withdraw(long answeredMs, long nowMs) {
		boolean isWithdrawn = answeredMs >= this.observedMs && requestsPerSecond(nowMs) > 0;
		if (isWithdrawn) {
			this.requestsPerSecond = 0;
			this.observedMs = answeredMs;
		}
		return isWithdrawn;
	}

	/**
	 * Returns the declared rate.
	 * @param nowMs current time in milliseconds
	 * @return requests per second of all instances, 0 if there is no limit
	 */
	double requestsPerSecond(long nowMs) {
		return (nowMs < this.validUntilMs) ? this.requestsPerSecond : 0;
	}

	/**
	 * Returns the fraction of a token that is missing for the next request.
	 * @param nowMs current time in milliseconds
	 * @return 0 if a request may be sent now
	 */
	double missingTokens(long nowMs) {
		if (requestsPerSecond(nowMs) == 0) {
			return 0;
		}
		refill(nowMs);
		return Math.max(0, 1 - this.tokens);
	}

	/**
	 * Returns the time until the next request may be sent.
	 * @param nowMs current time in milliseconds
	 * @return milliseconds, at most the time until the rate ends unless it is confirmed
	 */
	double waitMs(long nowMs) {
		double missingTokens = missingTokens(nowMs);
		return (missingTokens > 0) ? Math.min(missingTokens * MS_PER_SECOND / this.ownRequestsPerSecond,
				(double) (this.validUntilMs - nowMs)) : 0;
	}

	void take(long nowMs) {
		if (requestsPerSecond(nowMs) > 0) {
			refill(nowMs);
			this.tokens--;
		}
	}

	private void refill(long nowMs) {
		double addedTokens = (nowMs - this.refilledMs) * this.ownRequestsPerSecond / MS_PER_SECOND;
		this.tokens = Math.min(MAX_TOKENS, this.tokens + addedTokens);
		this.refilledMs = nowMs;
	}

}
