package dev.nutmegdoor.core.limit;

/**
 * Decision on the admission of a request.
 *
 * @param isAdmitted whether the request is admitted
 * @param retryAfterMs if not admitted, time until a token can be expected in milliseconds
 * @param remaining whole tokens known to be left, for the rate-limit header
 * @param rule rule that decided, for the explanation
 */
public record Admission(boolean isAdmitted, long retryAfterMs, long remaining, String rule) {

}
