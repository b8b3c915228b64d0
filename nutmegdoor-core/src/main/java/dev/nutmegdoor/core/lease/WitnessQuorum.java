package dev.nutmegdoor.core.lease;

/**
 * Numbers of witnesses needed. Acknowledgements and concurrences always add up to one
 * more than the witnesses, so that any two such sets share a witness.
 */
final class WitnessQuorum {

	private WitnessQuorum() {
	}

	/**
	 * Returns the acknowledgements that extend a lease.
	 * @param witnessCount witnesses named in the record
	 * @return the number; without witnesses no number is enough
	 */
	static int acknowledgements(int witnessCount) {
		return switch (witnessCount) {
			case 0 -> Integer.MAX_VALUE;
			case 1, 2 -> 1;
			default -> 2;
		};
	}

	/**
	 * Returns the concurrences that allow fencing.
	 * @param witnessCount witnesses named in the record
	 * @return the number
	 */
	static int concurrences(int witnessCount) {
		return (witnessCount == 0) ? 0 : (witnessCount + 1 - acknowledgements(witnessCount));
	}

}
