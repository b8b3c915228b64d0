package dev.nutmegdoor.core.conversation;

/**
 * Simultaneous failures that a deployment must survive.
 *
 * @param machines number of machines with a disk that may fail at the same time
 * @param zones number of availability zones that may fail at the same time
 */
public record FailureTolerance(int machines, int zones) {

	/** The failures that every deployment survives unless its settings say otherwise. */
	public static final FailureTolerance DEFAULT = new FailureTolerance(1, 1);

	public FailureTolerance {
		if (machines < 0 || zones < 0) {
			throw new IllegalArgumentException("numbers of tolerated failures must not be negative");
		}
	}

	int copies(int memberCount) {
		return Math.min(this.machines + 1, memberCount);
	}

	int zonesOfCopies(int zoneCount) {
		return Math.min(this.zones + 1, zoneCount);
	}

}
