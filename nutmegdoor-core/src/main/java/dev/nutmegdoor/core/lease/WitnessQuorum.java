package dev.nutmegdoor.core.lease;

/**
 * Computes the quorums for extending and for fencing a lease. The two quorums add up to
 * one more than the number of witnesses, so that they always have a witness in common.
 */
final class WitnessQuorum {

	private WitnessQuorum() {
	}

	/**
	 * Returns the number of acknowledgements needed to extend a lease.
	 * @param witnessCount number of witnesses in the lease record
	 * @return the number, or {@link Integer#MAX_VALUE} if there are no witnesses, because
	 * then only the store can extend the lease
	 */
	static int acknowledgements(int witnessCount) {
		return switch (witnessCount) {
			case 0 -> Integer.MAX_VALUE;
			case 1, 2 -> 1;
			default -> 2;
		};
	}

	/**
	 * Returns the number of concurrences needed to fence a lease.
	 * @param witnessCount number of witnesses in the lease record
	 * @return the number; 0 if there are no witnesses
	 */
	static int concurrences(int witnessCount) {
		return (witnessCount == 0) ? 0 : (witnessCount + 1 - acknowledgements(witnessCount));
	}

}
