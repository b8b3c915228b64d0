package dev.nutmegdoor.core.program;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.AtMostOnceState;
import dev.nutmegdoor.core.call.CallResult;

/**
 * State of an at-most-once operation, derived from its log.
 *
 * @param intended intent with the operation and the time of the first use of its key
 * @param state current state
 * @param result response of the service, or {@code null} if none is recorded
 * @param changedMs time of the last change in milliseconds since 1970
 */
record AtMostOnceCall(IntendedBody intended, AtMostOnceState state, @Nullable CallResult result, long changedMs) {

}
