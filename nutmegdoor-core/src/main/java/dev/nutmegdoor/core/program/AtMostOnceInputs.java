package dev.nutmegdoor.core.program;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.AtMostOnceState;

/**
 * What the decision on an operation that runs at most once depends on.
 *
 * @param state state of the key, or {@code null} if it is not known
 * @param isSameRequest whether the key came with the same payload before
 * @param isRunning whether the operation runs now on this instance
 * @param ageMs age of the key: since it was first seen, or by the time that it carries;
 * negative if it carries a time in the future
 * @param retentionMs time for which keys are remembered
 * @param skewMs largest difference between the clocks of callers and instances
 */
public record AtMostOnceInputs(@Nullable AtMostOnceState state, boolean isSameRequest, boolean isRunning, long ageMs,
		long retentionMs, long skewMs) {

}
