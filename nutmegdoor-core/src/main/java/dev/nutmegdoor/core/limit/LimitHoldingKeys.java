package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Builds the names of the entries that the rate limiter records under the instance lease.
 */
final class LimitHoldingKeys {

	/** Prefix of the entries with the units that the instance holds, by workspace. */
	static final String UNITS_PREFIX = "units/";

	/** Prefix of the entries with the units of each deducted, unacknowledged grant. */
	static final String PENDING_PREFIX = "out/";

	private LimitHoldingKeys() {
	}

	static String units(WorkspaceId workspace) {
		return UNITS_PREFIX + workspace.value();
	}

	/**
	 * Returns the name of the entry with the highest sequence received from a donor.
	 * @param donor instance that made the grants
	 * @return name of an entry
	 */
	static String received(InstanceId donor) {
		return "in/" + donor.value();
	}

	/**
	 * Returns the name of the entry which states that this instance created the share of
	 * a workspace.
	 * @param workspace workspace of the share
	 * @return name of an entry with the value 1
	 */
	static String created(WorkspaceId workspace) {
		return "created/" + workspace.value();
	}

	static String pending(InstanceId donor, InstanceId receiver, long sequence, WorkspaceId workspace) {
		return PENDING_PREFIX + donor.value() + "/" + receiver.value() + "/" + sequence + "/" + workspace.value();
	}

}
