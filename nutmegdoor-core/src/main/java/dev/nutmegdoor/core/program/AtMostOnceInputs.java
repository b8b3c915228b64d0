package dev.nutmegdoor.core.program;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.AtMostOnceState;

/**
 * Inputs of {@link AtMostOnceRule}. Times are in milliseconds.
 *
 * @param state recorded state of the key, or {@code null} if the key has no record
 * @param isSameRequest whether the key was recorded with the same payload and workspace
 * @param isRunning whether the operation is in progress on this instance
 * @param ageMs age of the key by its own timestamp, otherwise since its first use;
 * negative if the timestamp is in the future
 * @param retentionMs time for which keys are kept
 * @param skewMs maximum difference between the clocks of callers and instances
 */
public record AtMostOnceInputs(@Nullable AtMostOnceState state, boolean isSameRequest, boolean isRunning, long ageMs,
		long retentionMs, long skewMs) {

}
