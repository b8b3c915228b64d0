package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Snapshot of one workspace's share on this instance.
 *
 * @param workspace workspace of the share
 * @param units units that this instance holds
 * @param tokensMicro available micro-tokens at the last refill
 * @param limit active rate and burst
 * @param demandMilli smoothed local demand in thousandths of requests per second
 * @param pendingUnits units that were deducted for grants which are not acknowledged
 */
public record WorkspaceLimitDump(WorkspaceId workspace, long units, long tokensMicro, Limit limit, long demandMilli,
		long pendingUnits) {

}
