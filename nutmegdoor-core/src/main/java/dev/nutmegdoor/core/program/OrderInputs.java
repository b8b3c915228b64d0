package dev.nutmegdoor.core.program;

/**
 * What the order of a program's calls depends on.
 *
 * @param turn number of the call
 * @param completedTurns last turn that has its outcome
 * @param runningTurn turn that runs now, 0 if none
 * @param isKnown whether the turn was seen before
 * @param isSameRequest whether it then had the same payload
 * @param waitedMs time that the call has waited for its predecessor
 * @param longestWaitMs longest such wait
 * @param isClosed whether the program takes no more calls
 */
public record OrderInputs(int turn, int completedTurns, int runningTurn, boolean isKnown, boolean isSameRequest,
		long waitedMs, long longestWaitMs, boolean isClosed) {

}
