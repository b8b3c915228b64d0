package dev.nutmegdoor.core.program;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.AtMostOnceState;
import dev.nutmegdoor.core.call.CallResult;

/**
 * An operation that runs at most once, as its log describes it.
 *
 * @param intended the intent
 * @param state state
 * @param result answer of the service, if known
 * @param changedMs wall-clock time of the last change
 */
record AtMostOnceCall(IntendedBody intended, AtMostOnceState state, @Nullable CallResult result, long changedMs) {

}
