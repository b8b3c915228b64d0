package dev.nutmegdoor.core.program;

/**
 * Body of {@link EntryType#RELEASED}.
 *
 * @param wallClockMs time of the last acknowledgement
 */
record ReleasedBody(long wallClockMs) {

}
