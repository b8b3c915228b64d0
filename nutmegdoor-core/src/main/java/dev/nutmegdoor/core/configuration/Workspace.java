package dev.nutmegdoor.core.configuration;

import java.util.Map;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Settings of a paying workspace.
 *
 * @param id identifier
 * @param ratePerSecond requests admitted a second in the long run, across all instances
 * @param burst requests admitted at once after a pause, at least 1
 * @param weight weight in fair queueing, at least 1
 * @param workPriorities priority by kind of work; overrides the priority of
 * {@link WorkKind}; lower is more urgent
 * @param budget largest budget of a program
 */
public record Workspace(WorkspaceId id, double ratePerSecond, int burst, int weight,
		Map<String, Integer> workPriorities, ProgramBudget budget) {

	public Workspace {
		workPriorities = Map.copyOf(workPriorities);
	}

}
