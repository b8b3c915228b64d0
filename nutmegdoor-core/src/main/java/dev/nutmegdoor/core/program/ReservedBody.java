package dev.nutmegdoor.core.program;

/**
 * Body of {@link EntryType#TURN_RESERVED}.
 *
 * @param turn number of the turn
 * @param requestHash hash of the request's payload
 * @param tokens number of reserved tokens, 0 for a service call
 * @param messagesJson messages of the turn as a JSON array, empty for a service call
 * @param wallClockMs time of the reservation in milliseconds since 1970
 */
record ReservedBody(int turn, long requestHash, long tokens, String messagesJson, long wallClockMs) {

}
