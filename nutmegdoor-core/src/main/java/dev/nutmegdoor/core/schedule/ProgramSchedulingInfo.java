package dev.nutmegdoor.core.schedule;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * What ordering needs to know of a program.
 *
 * @param root the outermost parent, or the program itself; sub-agents count for it
 * @param openedAtMs time at which the root was opened, on the timer service
 */
public record ProgramSchedulingInfo(ProgramId root, long openedAtMs) {

}
