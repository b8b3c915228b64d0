package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Names of the entries that the rate limiter records under the instance lease.
 */
final class LimitHoldingKeys {

	/** Units of a workspace's share. */
	static final String UNITS_PREFIX = "units/";

	/** Units of a grant that was deducted and is not acknowledged. */
	static final String PENDING_PREFIX = "out/";

	private LimitHoldingKeys() {
	}

	static String units(WorkspaceId workspace) {
		return UNITS_PREFIX + workspace.value();
	}

	/**
	 * Names the greatest sequence received from a giver.
	 * @param donor the instance that made the grants
	 * @return the name
	 */
	static String received(InstanceId donor) {
		return "in/" + donor.value();
	}

	/**
	 * Names the mark that this instance created the share of a workspace.
	 * @param workspace the workspace
	 * @return the name
	 */
	static String created(WorkspaceId workspace) {
		return "created/" + workspace.value();
	}

	static String pending(InstanceId donor, InstanceId receiver, long sequence, WorkspaceId workspace) {
		return PENDING_PREFIX + donor.value() + "/" + receiver.value() + "/" + sequence + "/" + workspace.value();
	}

}
