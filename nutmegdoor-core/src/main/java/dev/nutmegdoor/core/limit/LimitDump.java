package dev.nutmegdoor.core.limit;

import java.util.List;

/**
 * State of the rate limiter.
 *
 * @param isLeaseValid whether the buckets may be used
 * @param isDraining whether the shares are being handed over
 * @param pendingTransfers transfers that are not acknowledged
 * @param workspaces state by workspace
 */
public record LimitDump(boolean isLeaseValid, boolean isDraining, int pendingTransfers,
		List<WorkspaceLimitDump> workspaces) {

	public LimitDump {
		workspaces = List.copyOf(workspaces);
	}

}
