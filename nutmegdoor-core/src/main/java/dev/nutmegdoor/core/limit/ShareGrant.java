package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * One transfer of a part of a share.
 *
 * @param sequence rises with each grant of a giver to a receiver
 * @param workspace the workspace
 * @param units units of the share
 * @param tokensMicro micro-tokens within the capacity of these units
 * @param unitsLeft units that the giver had left
 */
public record ShareGrant(long sequence, WorkspaceId workspace, long units, long tokensMicro, long unitsLeft) {

}
