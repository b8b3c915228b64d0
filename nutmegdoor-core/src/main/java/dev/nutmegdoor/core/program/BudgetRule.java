package dev.nutmegdoor.core.program;

/**
 * Decides whether a call or a new sub-agent fits into a budget. A pure function, so that
 * a recorded decision can be verified by evaluating it again.
 */
public final class BudgetRule {

	private BudgetRule() {
	}

	/**
	 * Evaluates the rule.
	 * @param inputs everything that the decision depends on
	 * @return the first limit that would be exceeded, or {@code GRANTED} if none is
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
