package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.call.CallResult;

/**
 * Body of {@link EntryType#TURN_COMPLETED}.
 *
 * @param turn number of the turn
 * @param result whole answer
 * @param wallClockMs time of completion
 */
record CompletedBody(int turn, CallResult result, long wallClockMs) {

}
