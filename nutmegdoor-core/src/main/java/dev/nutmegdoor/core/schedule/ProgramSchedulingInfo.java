package dev.nutmegdoor.core.schedule;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * Properties of a program that determine the order of its calls in a queue.
 *
 * @param root outermost parent of the program, or the program itself; the service time of
 * sub-agents is charged to it
 * @param openedAtMs time at which the root was opened in milliseconds, on the clock of
 * the timer service
 */
public record ProgramSchedulingInfo(ProgramId root, long openedAtMs) {

}
