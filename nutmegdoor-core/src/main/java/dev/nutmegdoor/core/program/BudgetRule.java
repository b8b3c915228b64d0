package dev.nutmegdoor.core.program;

/**
 * Decides whether a budget has room for a call or a sub-agent. Pure.
 */
public final class BudgetRule {

	private BudgetRule() {
	}

	/**
	 * Decides on the inputs alone.
	 * @param inputs everything the decision depends on
	 * @return whether the request is granted, or which limit it exceeds
	 */
	public static BudgetDecision decide(BudgetInputs inputs) {
		if (inputs.tokens() + inputs.requestedTokens() > inputs.budget().maxTokens()) {
			return BudgetDecision.TOKENS_EXHAUSTED;
		}
		if (inputs.calls() + inputs.requestedCalls() > inputs.budget().maxCalls()) {
			return BudgetDecision.CALLS_EXHAUSTED;
		}
		if (inputs.ageMs() > inputs.budget().maxDurationMs()) {
			return BudgetDecision.TIME_EXHAUSTED;
		}
		if (inputs.requestedDepth() > inputs.budget().maxDepth()) {
			return BudgetDecision.DEPTH_EXHAUSTED;
		}
		return BudgetDecision.GRANTED;
	}

}
