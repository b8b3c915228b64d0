package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.configuration.ProgramBudget;

/**
 * What the budget of a program and of each of its ancestors depends on.
 *
 * @param budget the budget
 * @param tokens tokens spent and reserved by the program and its sub-agents
 * @param calls calls made by them
 * @param ageMs time since opening
 * @param requestedTokens tokens that the call may need
 * @param requestedCalls calls that are asked for, 0 when a sub-agent is opened
 * @param requestedDepth depth of the sub-agent that is asked for, 0 for a call
 */
public record BudgetInputs(ProgramBudget budget, long tokens, int calls, long ageMs, long requestedTokens,
		int requestedCalls, int requestedDepth) {

}
