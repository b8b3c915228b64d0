package dev.nutmegdoor.experiment.faults;

import java.util.List;

import dev.nutmegdoor.core.fault.Step;

/**
 * Outcome of one cell of the fault matrix.
 *
 * @param step the step
 * @param fault the fault
 * @param isReached whether the step was reached, so that the fault was caused
 * @param violations descriptions of violated invariants
 */
public record CellResult(Step step, CellFault fault, boolean isReached, List<String> violations) {

	public CellResult {
		violations = List.copyOf(violations);
	}

	public boolean isPassed() {
		return this.isReached && this.violations.isEmpty();
	}

	String mark() {
		return isPassed() ? "ok" : this.isReached ? "VIOLATED" : "not-reached";
	}

}
