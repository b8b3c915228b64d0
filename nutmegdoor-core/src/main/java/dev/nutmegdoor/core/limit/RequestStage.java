package dev.nutmegdoor.core.limit;

/**
 * Place of a request in the work of its caller. While a workspace sends more than its
 * rate, a program that can't be finished is better refused at its beginning: a refusal in
 * its middle wastes everything that was done for it.
 */
public enum RequestStage {

	/** Begins a program. */
	OPENING(0.4),

	/** Belongs to a program under way, or to none. */
	CONTINUING(0);

	private final double reservedShare;

	RequestStage(double reservedShare) {
		this.reservedShare = reservedShare;
	}

	/**
	 * Returns the part of a burst that a request leaves to those of other stages.
	 * @return part of the burst, 0 to 1
	 */
	public double reservedShare() {
		return this.reservedShare;
	}

}
