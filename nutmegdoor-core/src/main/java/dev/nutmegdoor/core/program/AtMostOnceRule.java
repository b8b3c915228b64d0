package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.call.AtMostOnceState;

/**
 * Decides whether an at-most-once operation may be sent. A pure function, so that a
 * recorded decision can be verified by evaluating it again.
 */
public final class AtMostOnceRule {

	private AtMostOnceRule() {
	}

	/**
	 * Evaluates the rule.
	 * @param inputs everything that the decision depends on
	 * @return how the call is handled
	 */
	public static AtMostOnceDecision decide(AtMostOnceInputs inputs) {
		if (inputs.ageMs() > inputs.retentionMs()) {
			return AtMostOnceDecision.REFUSE_EXPIRED;
		}
		if (inputs.ageMs() < -inputs.skewMs()) {
			return AtMostOnceDecision.REFUSE_MALFORMED;
		}
		if (inputs.state() == null) {
			return AtMostOnceDecision.SEND;
		}
		if (!inputs.isSameRequest()) {
			return AtMostOnceDecision.REFUSE_REUSED;
		}
		if (inputs.isRunning()) {
			return AtMostOnceDecision.ATTACH;
		}
		if (inputs.state() == AtMostOnceState.NOT_SENT) {
			return AtMostOnceDecision.SEND;
		}
		return (inputs.state() == AtMostOnceState.SETTLED) ? AtMostOnceDecision.STORED
				: AtMostOnceDecision.REFUSE_UNKNOWN;
	}

}
