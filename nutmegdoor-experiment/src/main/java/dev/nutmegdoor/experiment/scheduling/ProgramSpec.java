package dev.nutmegdoor.experiment.scheduling;

import java.util.List;

/**
 * A program that arrives during a run.
 *
 * @param name unique within the run
 * @param workspace index of its workspace
 * @param kind index of its kind of work
 * @param arrivalMs time of arrival
 * @param turns its turns
 */
record ProgramSpec(String name, int workspace, int kind, long arrivalMs, List<TurnSpec> turns) {

	// Time that an engine spends on the program if nothing is prefilled twice and all
	// batches are full.
	double workMs() {
		double workMs = 0;
		for (TurnSpec turn : this.turns) {
			workMs += turn.newTokens() * WorkloadGenerator.PREFILL_MS
					+ turn.answerTokens() * WorkloadGenerator.DECODE_MS;
			for (ProgramSpec subAgent : turn.subAgents()) {
				workMs += subAgent.workMs();
			}
		}
		return workMs;
	}

}
