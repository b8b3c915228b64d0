package dev.nutmegdoor.core.program;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallResult;

/**
 * One turn of a program.
 *
 * @param requestHash hash of the request's payload
 * @param tokens reserved tokens until the response is recorded, spent tokens afterwards
 * @param messagesJson messages of the turn as a JSON array, empty for a service call
 * @param result complete response, or {@code null} if none is recorded
 * @param key idempotency key of an at-most-once operation, or {@code null} for a turn
 * that may be repeated
 */
record Turn(long requestHash, long tokens, String messagesJson, @Nullable CallResult result, @Nullable String key) {

}
