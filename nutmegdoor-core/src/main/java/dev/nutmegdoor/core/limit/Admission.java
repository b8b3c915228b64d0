package dev.nutmegdoor.core.limit;

import org.jspecify.annotations.Nullable;

/**
 * Decision on the admission of a request.
 *
 * @param isAdmitted whether the request is admitted
 * @param retryAfterMs if not admitted, time until a token can be expected in milliseconds
 * @param remaining whole tokens known to be left, for the rate-limit header
 * @param rule rule that decided, for the explanation
 * @param decision the decision on this instance, or {@code null} if another instance
 * decided
 */
public record Admission(boolean isAdmitted, long retryAfterMs, long remaining, String rule,
		@Nullable AdmissionDecision decision) {

	/**
	 * Creates an admission that another instance decided.
	 * @param isAdmitted whether the request is admitted
	 * @param retryAfterMs if not admitted, time until a token can be expected in
	 * milliseconds
	 * @param remaining whole tokens known to be left
	 * @param rule rule that decided
	 */
	public Admission(boolean isAdmitted, long retryAfterMs, long remaining, String rule) {
		this(isAdmitted, retryAfterMs, remaining, rule, null);
	}

}
