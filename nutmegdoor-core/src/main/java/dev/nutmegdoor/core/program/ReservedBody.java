package dev.nutmegdoor.core.program;

/**
 * Body of {@link EntryType#TURN_RESERVED}.
 *
 * @param turn number of the turn
 * @param requestHash hash of the request's payload
 * @param tokens tokens reserved
 * @param messagesJson messages of the turn, empty for a service call
 * @param wallClockMs time of the reservation
 */
record ReservedBody(int turn, long requestHash, long tokens, String messagesJson, long wallClockMs) {

}
