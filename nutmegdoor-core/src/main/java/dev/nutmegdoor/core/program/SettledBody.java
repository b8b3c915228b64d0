package dev.nutmegdoor.core.program;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.AtMostOnceState;
import dev.nutmegdoor.core.call.CallResult;

/**
 * Body of {@link EntryType#CALL_SETTLED}.
 *
 * @param key idempotency key
 * @param state new state of the operation
 * @param result response of the service, or {@code null} if there is none
 * @param source origin of the state: {@code takeover}, {@code operator} and a name, or
 * the name of the state in lower case for a call at this home
 * @param wallClockMs time of the change in milliseconds since 1970
 */
record SettledBody(String key, AtMostOnceState state, @Nullable CallResult result, String source, long wallClockMs) {

}
