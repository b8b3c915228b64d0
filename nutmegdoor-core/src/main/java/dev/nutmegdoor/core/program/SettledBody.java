package dev.nutmegdoor.core.program;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.OnceState;

/**
 * Body of {@link EntryType#CALL_SETTLED}.
 *
 * @param key idempotency key
 * @param state state of the operation
 * @param result answer of the service, if known
 * @param source who settled it: the service's answer, a query, a takeover or an operator
 * @param wallClockMs time of the settlement
 */
record SettledBody(String key, OnceState state, @Nullable CallResult result, String source, long wallClockMs) {

}
