package dev.nutmegdoor.core.program;

/**
 * Decides whether a call of a program runs, waits, shares another call's response or is
 * rejected. A pure function, so that a recorded decision can be verified by evaluating it
 * again.
 */
public final class OrderRule {

	private OrderRule() {
	}

	/**
	 * Evaluates the rule.
	 * @param inputs everything that the decision depends on
	 * @return how the call is handled
	 */
	public static OrderDecision decide(OrderInputs inputs) {
		if (inputs.isKnown() && !inputs.isSameRequest()) {
			return OrderDecision.REFUSE_REUSED;
		}
		if (inputs.turn() <= inputs.completedTurns()) {
			return inputs.isKnown() ? OrderDecision.STORED : OrderDecision.REFUSE_REUSED;
		}
		if (inputs.isClosed()) {
			return OrderDecision.REFUSE_CLOSED;
		}
		if (inputs.turn() == inputs.runningTurn()) {
			return OrderDecision.ATTACH;
		}
		if (inputs.turn() == inputs.completedTurns() + 1 && inputs.runningTurn() == 0) {
			return OrderDecision.RUN;
		}
		return (inputs.waitedMs() < inputs.longestWaitMs()) ? OrderDecision.WAIT : OrderDecision.REFUSE_EARLY;
	}

}
