package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.call.AtMostOnceState;

/**
 * Decides whether an operation that runs at most once may be sent. Pure.
 */
public final class AtMostOnceRule {

	private AtMostOnceRule() {
	}

	/**
	 * Decides on the inputs alone.
	 * @param inputs everything the decision depends on
	 * @return what happens to the call
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
