package dev.nutmegdoor.core.program;

/**
 * Body of {@link EntryType#CLOSED}.
 *
 * @param reason why the program ended
 * @param wallClockMs time of the end
 */
record ClosedBody(String reason, long wallClockMs) {

}
