package dev.nutmegdoor.core.program;

/**
 * Decides whether a budget has room for a call or a sub-agent. Pure.
 */
final class BudgetRule {

	private BudgetRule() {
	}

	static BudgetDecision decide(BudgetInputs inputs) {
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
