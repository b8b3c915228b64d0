package dev.nutmegdoor.core.program;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.OnceState;

/**
 * What is known about an operation that was interrupted.
 *
 * @param state state
 * @param result answer of the service, if known
 */
record OnceOutcome(OnceState state, @Nullable CallResult result) {

	static final OnceOutcome UNKNOWN = new OnceOutcome(OnceState.UNKNOWN, null);

}
