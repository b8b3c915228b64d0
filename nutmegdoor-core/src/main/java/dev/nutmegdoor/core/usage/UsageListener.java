package dev.nutmegdoor.core.usage;

import java.util.Map;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Receives what other instances have admitted, and tells how full the buckets of this one
 * are.
 */
interface UsageListener {

	void admittedElsewhere(WorkspaceId workspace, long requests);

	/**
	 * Called in the first seconds of a restarted instance with the levels of others.
	 * @param workspace workspace of the bucket
	 * @param level whole tokens in the bucket of another instance, may be negative
	 */
	void levelReported(WorkspaceId workspace, long level);

	boolean isLow(WorkspaceId workspace);

	/**
	 * Returns the buckets that are not nearly full.
	 * @return whole tokens by workspace
	 */
	Map<String, Long> levels();

}
