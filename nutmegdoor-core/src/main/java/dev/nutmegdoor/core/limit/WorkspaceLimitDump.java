package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * State of one workspace's share at this instance.
 *
 * @param workspace the workspace
 * @param units units of the share
 * @param tokensMicro micro-tokens
 * @param limit rate and burst in force
 * @param demandMilli smoothed demand in thousandths of requests a second
 * @param pendingUnits units that were deducted and are on their way to other instances
 */
public record WorkspaceLimitDump(WorkspaceId workspace, long units, long tokensMicro, Limit limit, long demandMilli,
		long pendingUnits) {

}
