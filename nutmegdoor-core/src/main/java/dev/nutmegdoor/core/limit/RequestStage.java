package dev.nutmegdoor.core.limit;

/**
 * Position of a request within a program. While a workspace exceeds its rate, it is
 * cheaper to reject a program at its first request than later, when the work already done
 * for it would be wasted.
 */
public enum RequestStage {

	/** First request of a program. */
	OPENING(0.4, 400),

	/** Later request of a program, or a request that belongs to no program. */
	CONTINUING(0, 800);

	private final double reservedBurstFraction;

	private final long maxWaitMs;

	RequestStage(double reservedBurstFraction, long maxWaitMs) {
		this.reservedBurstFraction = reservedBurstFraction;
		this.maxWaitMs = maxWaitMs;
	}

	/**
	 * Returns the maximum wait for a token. The wait is bounded because a client abandons
	 * a stream after 2 s without an event, and the slack of a program is about as long as
	 * its run time.
	 * @return maximum wait in milliseconds
	 */
	public long maxWaitMs() {
		return this.maxWaitMs;
	}

	/**
	 * Returns the fraction of the burst that a request must leave in the bucket for
	 * requests of other stages.
	 * @return fraction from 0 to 1
	 */
	public double reservedBurstFraction() {
		return this.reservedBurstFraction;
	}

}
