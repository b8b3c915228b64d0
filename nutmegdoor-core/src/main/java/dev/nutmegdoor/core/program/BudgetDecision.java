package dev.nutmegdoor.core.program;

/**
 * Result of {@link BudgetRule}: granted, or the limit that would be exceeded.
 */
public enum BudgetDecision {

	GRANTED("within the budget"), TOKENS_EXHAUSTED("the program's tokens are used up"),
	CALLS_EXHAUSTED("the program's calls are used up"), TIME_EXHAUSTED("the program's time is used up"),
	DEPTH_EXHAUSTED("the program's sub-agents are nested too deeply");

	private final String detail;

	BudgetDecision(String detail) {
		this.detail = detail;
	}

	String detail() {
		return this.detail;
	}

}
