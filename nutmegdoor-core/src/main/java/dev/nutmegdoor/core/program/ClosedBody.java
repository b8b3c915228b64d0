package dev.nutmegdoor.core.program;

/**
 * Body of {@link EntryType#CLOSED}.
 *
 * @param reason why the program ended
 * @param wallClockMs time of the end in milliseconds since 1970
 */
record ClosedBody(String reason, long wallClockMs) {

}
