package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Transfers part of a share from a donor to a receiver.
 *
 * @param sequence increases by one with each grant of a donor to a receiver
 * @param workspace workspace of the share
 * @param units transferred units
 * @param tokensMicro transferred micro-tokens, at most the capacity of these units
 * @param unitsLeft units that the donor had left after the deduction
 */
public record ShareGrant(long sequence, WorkspaceId workspace, long units, long tokensMicro, long unitsLeft) {

}
