package dev.nutmegdoor.core.limit;

/**
 * Place of a request in the work of its caller. While a workspace sends more than its
 * rate, a program that can't be finished is better refused at its beginning: a refusal in
 * its middle wastes everything that was done for it.
 */
public enum RequestStage {

	/** Begins a program. */
	OPENING(0.4, 400),

	/** Belongs to a program under way, or to none. */
	CONTINUING(0, 800);

	private final double reservedBurstFraction;

	private final long maxWaitMs;

	RequestStage(double reservedBurstFraction, long maxWaitMs) {
		this.reservedBurstFraction = reservedBurstFraction;
		this.maxWaitMs = maxWaitMs;
	}

	/**
	 * Returns how long a request may wait for a token. A client gives a stream up after 2
	 * s without an event, and a program has about as much time to spare as it takes.
	 * @return milliseconds
	 */
	public long maxWaitMs() {
		return this.maxWaitMs;
	}

	/**
	 * Returns the part of a burst that a request leaves to those of other stages.
	 * @return part of the burst, 0 to 1
	 */
	public double reservedBurstFraction() {
		return this.reservedBurstFraction;
	}

}
