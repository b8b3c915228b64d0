package dev.nutmegdoor.core.program;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.AtMostOnceState;
import dev.nutmegdoor.core.call.CallResult;

/**
 * What is known about an operation that was interrupted.
 *
 * @param state state
 * @param result answer of the service, if known
 */
record AtMostOnceOutcome(AtMostOnceState state, @Nullable CallResult result) {

	static final AtMostOnceOutcome UNKNOWN = new AtMostOnceOutcome(AtMostOnceState.UNKNOWN, null);

}
