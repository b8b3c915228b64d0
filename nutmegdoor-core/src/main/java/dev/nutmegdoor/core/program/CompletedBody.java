package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.call.CallResult;

/**
 * Body of {@link EntryType#TURN_COMPLETED}.
 *
 * @param turn number of the turn
 * @param result complete response
 * @param wallClockMs time of completion in milliseconds since 1970
 */
record CompletedBody(int turn, CallResult result, long wallClockMs) {

}
