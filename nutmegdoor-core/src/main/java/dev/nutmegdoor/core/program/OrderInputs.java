package dev.nutmegdoor.core.program;

/**
 * Inputs of {@link OrderRule}. Turns are numbered from 1.
 *
 * @param turn number of the call's turn
 * @param completedTurns number of the last turn with a recorded outcome, 0 if none
 * @param runningTurn number of the turn in progress, 0 if none
 * @param isKnown whether a call with this turn number has been recorded
 * @param isSameRequest whether the recorded call had the same payload
 * @param waitedMs milliseconds that the call has waited for its predecessor
 * @param longestWaitMs maximum wait in milliseconds, after which the call is rejected
 * @param isClosed whether the program accepts no more calls
 */
public record OrderInputs(int turn, int completedTurns, int runningTurn, boolean isKnown, boolean isSameRequest,
		long waitedMs, long longestWaitMs, boolean isClosed) {

}
