package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Names of the entries that the rate limiter records under the instance lease.
 */
final class LimitHoldingKeys {

	/** Units of a workspace's share. */
	static final String UNITS = "units/";

	/** Units of a grant that was deducted and is not acknowledged. */
	static final String OUT = "out/";

	private LimitHoldingKeys() {
	}

	static String units(WorkspaceId workspace) {
		return UNITS + workspace.value();
	}

	/**
	 * Names the greatest sequence received from a giver.
	 * @param giver the giver
	 * @return the name
	 */
	static String received(InstanceId giver) {
		return "in/" + giver.value();
	}

	/**
	 * Names the mark that this instance created the share of a workspace.
	 * @param workspace the workspace
	 * @return the name
	 */
	static String created(WorkspaceId workspace) {
		return "created/" + workspace.value();
	}

	static String out(InstanceId giver, InstanceId receiver, long sequence, WorkspaceId workspace) {
		return OUT + giver.value() + "/" + receiver.value() + "/" + sequence + "/" + workspace.value();
	}

}
