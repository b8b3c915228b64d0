package dev.nutmegdoor.core.program;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * Sums what a program and its sub-agents have spent and reserved. Sub-agents live in the
 * partition of their parent, so that one owner sees the whole tree.
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
	 * Checks the budgets of a program and of all its ancestors.
	 * @param home partition of the program
	 * @param program the program
	 * @param requestedTokens tokens asked for
	 * @param requestedCalls calls asked for
	 * @param requestedDepth depth asked for
	 * @param nowMs wall-clock time
	 * @return the inputs of the first budget that has no room, or of the program's own
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
