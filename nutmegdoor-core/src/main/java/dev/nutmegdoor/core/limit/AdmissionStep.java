package dev.nutmegdoor.core.limit;

import java.util.List;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Next step of an admission.
 *
 * @param kind what to do
 * @param targets holders to ask, or to gather tokens from
 * @param retryAfterMs for a refusal or delay, time until a token can be expected in
 * milliseconds
 * @param rule rule that decided
 */
public record AdmissionStep(Kind kind, List<InstanceId> targets, long retryAfterMs, String rule) {

	public AdmissionStep {
		targets = List.copyOf(targets);
	}

	/**
	 * Kinds of steps.
	 */
	public enum Kind {

		/** Take a token of the own bucket. */
		ADMIT,

		/** Ask one holder to admit from its bucket. */
		ASK,

		/** Ask holders to send the fractions of tokens that they have. */
		GATHER,

		/** Wait for tokens that are on their way. */
		WAIT,

		/** Hold the request back until a token is due, then decide again. */
		DELAY,

		/** Refuse the request. */
		REFUSE

	}

}
