package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.configuration.ProgramBudget;

/**
 * Inputs of {@link BudgetRule} for one program; the rule is evaluated for the program of
 * a call and for each of its ancestors.
 *
 * @param budget limits of the program
 * @param tokens tokens spent and reserved by the program and its sub-agents
 * @param calls number of calls made by the program and its sub-agents
 * @param ageMs milliseconds since the program was opened
 * @param requestedTokens maximum number of further tokens that the call may use
 * @param requestedCalls 1 for a new call, 0 for a repeated call or a new sub-agent
 * @param requestedDepth number of ancestors of the new sub-agent, 0 for a call
 */
public record BudgetInputs(ProgramBudget budget, long tokens, int calls, long ageMs, long requestedTokens,
		int requestedCalls, int requestedDepth) {

}
