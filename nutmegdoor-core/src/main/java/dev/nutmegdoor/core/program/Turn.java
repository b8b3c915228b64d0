package dev.nutmegdoor.core.program;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallResult;

/**
 * One turn of a program.
 *
 * @param requestHash hash of the request's payload
 * @param tokens tokens reserved while it has no answer, tokens spent afterwards
 * @param messagesJson messages of the turn
 * @param result whole answer, or {@code null} while there is none
 * @param key idempotency key of an operation that runs at most once, or {@code null}
 */
record Turn(long requestHash, long tokens, String messagesJson, @Nullable CallResult result, @Nullable String key) {

}
