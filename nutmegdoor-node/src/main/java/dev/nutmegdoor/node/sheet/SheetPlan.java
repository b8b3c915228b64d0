package dev.nutmegdoor.node.sheet;

import java.util.List;

import dev.nutmegdoor.core.configuration.ConfigurationEdit;

/**
 * What loading a sheet would change.
 *
 * @param date date of the sheet
 * @param added workspaces that don't exist yet
 * @param changed workspaces with other settings
 * @param dropped workspaces that the sheet lacks
 * @param edits all changes of items
 * @param concerns why the load needs to be forced, empty if it doesn't
 * @param errors cells that contradict the configuration in force
 */
public record SheetPlan(String date, List<String> added, List<String> changed, List<String> dropped,
		List<ConfigurationEdit> edits, List<String> concerns, List<SheetError> errors) {

	public SheetPlan {
		added = List.copyOf(added);
		changed = List.copyOf(changed);
		dropped = List.copyOf(dropped);
		edits = List.copyOf(edits);
		concerns = List.copyOf(concerns);
		errors = List.copyOf(errors);
	}

}
