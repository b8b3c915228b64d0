package dev.nutmegdoor.core.program;

/**
 * Body of {@link EntryType#RELEASED}.
 *
 * @param wallClockMs time of the last acknowledgement in milliseconds since 1970
 */
record ReleasedBody(long wallClockMs) {

}
