package dev.nutmegdoor.core.program;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * Sums the tokens and calls of a program and its sub-agents. Sub-agents are in the
 * partition of their parent, so one owner has the state of the entire tree.
 */
final class BudgetLedger {

	private BudgetLedger() {
	}

	static long tokens(PartitionHome home, ProgramState root) {
		long sum = root.tokens();
		for (ProgramState child : home.programs().values()) {
			if (isChild(child, root.id())) {
				sum += tokens(home, child);
			}
		}
		return sum;
	}

	static int callCount(PartitionHome home, ProgramState root) {
		int sum = root.callCount();
		for (ProgramState child : home.programs().values()) {
			if (isChild(child, root.id())) {
				sum += callCount(home, child);
			}
		}
		return sum;
	}

	static boolean isChild(ProgramState program, ProgramId parent) {
		OpenedBody opened = program.opened();
		return opened != null && parent.equals(opened.parent());
	}

	static @Nullable ProgramState parent(PartitionHome home, ProgramState program) {
		OpenedBody opened = program.opened();
		ProgramId parent = (opened != null) ? opened.parent() : null;
		return (parent != null) ? home.program(parent) : null;
	}

	/**
	 * Returns the inputs for the budget check of a request, which must fit into the
	 * budgets of the program and of all its ancestors.
	 * @param home partition of the program
	 * @param program program of the request
	 * @param requestedTokens maximum number of further tokens that the call may use
	 * @param requestedCalls 1 for a new call, 0 for a repeated call or a new sub-agent
	 * @param requestedDepth number of ancestors of the new sub-agent, 0 for a call
	 * @param nowMs wall-clock time in milliseconds since 1970
	 * @return the inputs of the first budget that the request would exceed, starting at
	 * the program; those of the program itself if there is none
	 */
	static BudgetInputs inputs(PartitionHome home, ProgramState program, long requestedTokens, int requestedCalls,
			int requestedDepth, long nowMs) {
		BudgetInputs ownInputs = null;
		ProgramState current = program;
		while (current != null) {
			OpenedBody opened = current.opened();
			if (opened == null) {
				throw new IllegalStateException("program " + current.id() + " was not opened");
			}
			BudgetInputs inputs = new BudgetInputs(opened.budget(), tokens(home, current), callCount(home, current),
					nowMs - opened.wallClockMs(), requestedTokens, requestedCalls, requestedDepth);
			ownInputs = (ownInputs != null) ? ownInputs : inputs;
			if (BudgetRule.decide(inputs) != BudgetDecision.GRANTED) {
				return inputs;
			}
			current = parent(home, current);
		}
		return java.util.Objects.requireNonNull(ownInputs);
	}

}
