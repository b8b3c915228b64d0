package dev.nutmegdoor.core.limit;

import java.util.List;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Describes the next step of an admission.
 *
 * @param kind action to take
 * @param targets holders to query or to gather tokens from; empty for other kinds
 * @param retryAfterMs for a rejection or delay, estimated time until a token is available
 * in milliseconds; otherwise 0
 * @param rule name of the rule that decided
 */
public record AdmissionStep(Kind kind, List<InstanceId> targets, long retryAfterMs, String rule) {

	public AdmissionStep {
		targets = List.copyOf(targets);
	}

	/**
	 * Actions that an admission can take next.
	 */
	public enum Kind {

		/** Take a token from the local bucket. */
		ADMIT,

		/** Query one holder, which may admit the request from its bucket. */
		ASK,

		/** Request token fractions from several holders. */
		GATHER,

		/** Wait for tokens that were already requested. */
		WAIT,

		/** Delay the request until a token is due, then decide again. */
		DELAY,

		/** Reject the request. */
		REFUSE

	}

}
