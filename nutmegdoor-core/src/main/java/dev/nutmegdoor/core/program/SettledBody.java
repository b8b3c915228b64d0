package dev.nutmegdoor.core.program;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.AtMostOnceState;
import dev.nutmegdoor.core.call.CallResult;

/**
 * Body of {@link EntryType#CALL_SETTLED}.
 *
 * @param key idempotency key
 * @param state state of the operation
 * @param result answer of the service, if known
 * @param source who settled it: the service's answer, a query, a takeover or an operator
 * @param wallClockMs time of the settlement
 */
record SettledBody(String key, AtMostOnceState state, @Nullable CallResult result, String source, long wallClockMs) {

}
