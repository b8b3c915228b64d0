package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.call.OnceState;

/**
 * Decides whether an operation that runs at most once may be sent. Pure.
 */
public final class OnceRule {

	private OnceRule() {
	}

	/**
	 * Decides on the inputs alone.
	 * @param inputs everything the decision depends on
	 * @return what happens to the call
	 */
	public static OnceDecision decide(OnceInputs inputs) {
		if (inputs.ageMs() > inputs.retentionMs()) {
			return OnceDecision.REFUSE_EXPIRED;
		}
		if (inputs.ageMs() < -inputs.skewMs()) {
			return OnceDecision.REFUSE_MALFORMED;
		}
		if (inputs.state() == null) {
			return OnceDecision.SEND;
		}
		if (!inputs.isSameRequest()) {
			return OnceDecision.REFUSE_REUSED;
		}
		if (inputs.isRunning()) {
			return OnceDecision.ATTACH;
		}
		if (inputs.state() == OnceState.NOT_SENT) {
			return OnceDecision.SEND;
		}
		return (inputs.state() == OnceState.SETTLED) ? OnceDecision.STORED : OnceDecision.REFUSE_UNKNOWN;
	}

}
