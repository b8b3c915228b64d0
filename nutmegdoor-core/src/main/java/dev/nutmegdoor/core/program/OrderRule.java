package dev.nutmegdoor.core.program;

/**
 * Decides about the order of a program's calls. Pure, so that a decision can be verified
 * by running it again.
 */
public final class OrderRule {

	private OrderRule() {
	}

	/**
	 * Decides on the inputs alone.
	 * @param inputs everything the decision depends on
	 * @return what happens to the call
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
