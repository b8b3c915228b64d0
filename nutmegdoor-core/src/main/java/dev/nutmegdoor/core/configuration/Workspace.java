package dev.nutmegdoor.core.configuration;

import java.util.Map;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Settings of a paying workspace.
 *
 * @param id identifier
 * @param ratePerSecond sustained rate of admitted requests per second, across all
 * instances
 * @param burst maximum number of requests admitted in a burst after an idle period, at
 * least 1
 * @param weight weight in fair queueing, at least 1
 * @param workPriorities priority by kind of work; overrides the priority of
 * {@link WorkKind}; lower is more urgent
 * @param budget maximum budget of a program
 */
public record Workspace(WorkspaceId id, double ratePerSecond, int burst, int weight,
		Map<String, Integer> workPriorities, ProgramBudget budget) {

	public Workspace {
		workPriorities = Map.copyOf(workPriorities);
	}

}
