package dev.nutmegdoor.core.limit;

import org.jspecify.annotations.Nullable;

/**
 * Result of an admission: whether a request may proceed, or when to retry it.
 *
 * @param isAdmitted whether the request is admitted
 * @param retryAfterMs if rejected, estimated time until a token is available in
 * milliseconds
 * @param remaining whole tokens left in the bucket that decided, for the rate-limit
 * header
 * @param rule name of the rule that decided, for explanations
 * @param decision inputs and outcome of the last step on this instance, or {@code null}
 * if none was recorded
 */
public record Admission(boolean isAdmitted, long retryAfterMs, long remaining, String rule,
		@Nullable AdmissionDecision decision) {

	/**
	 * Creates an admission without a recorded decision.
	 * @param isAdmitted whether the request is admitted
	 * @param retryAfterMs if rejected, estimated time until a token is available in
	 * milliseconds
	 * @param remaining whole tokens left in the bucket that decided
	 * @param rule name of the rule that decided
	 */
	public Admission(boolean isAdmitted, long retryAfterMs, long remaining, String rule) {
		this(isAdmitted, retryAfterMs, remaining, rule, null);
	}

}
