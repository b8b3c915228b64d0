package dev.nutmegdoor.core.program;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.AtMostOnceState;
import dev.nutmegdoor.core.call.CallResult;

/**
 * Outcome of an interrupted operation, as queried from its service.
 *
 * @param state {@code SETTLED}, {@code NOT_SENT} or {@code UNKNOWN}
 * @param result response of the service if the state is {@code SETTLED}, otherwise
 * {@code null}
 */
record AtMostOnceOutcome(AtMostOnceState state, @Nullable CallResult result) {

	static final AtMostOnceOutcome UNKNOWN = new AtMostOnceOutcome(AtMostOnceState.UNKNOWN, null);

}
