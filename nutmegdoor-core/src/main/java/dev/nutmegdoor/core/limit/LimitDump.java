package dev.nutmegdoor.core.limit;

import java.util.List;

/**
 * Snapshot of the rate limiter for diagnosis.
 *
 * @param isLeaseValid whether this instance may admit requests from its buckets
 * @param isDraining whether all shares are being transferred to other instances
 * @param pendingTransfers number of grants that are not acknowledged
 * @param workspaces state of each workspace that this instance has a bucket for
 */
public record LimitDump(boolean isLeaseValid, boolean isDraining, int pendingTransfers,
		List<WorkspaceLimitDump> workspaces) {

	public LimitDump {
		workspaces = List.copyOf(workspaces);
	}

}
