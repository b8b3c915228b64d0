package dev.nutmegdoor.experiment.soak;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.Refusal;

/**
 * Learns how an attempt ended.
 */
@FunctionalInterface
interface AttemptListener {

	/**
	 * Called once.
	 * @param result answer, or {@code null}
	 * @param refusal refusal, or {@code null}; if both are {@code null} the connection
	 * broke
	 */
	void ended(@Nullable CallResult result, @Nullable Refusal refusal);

}
