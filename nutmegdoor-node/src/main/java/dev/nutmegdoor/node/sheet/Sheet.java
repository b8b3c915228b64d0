package dev.nutmegdoor.node.sheet;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A parsed sheet.
 *
 * @param date date of the sheet as {@code yyyy-MM-dd}, empty if it has errors
 * @param rows workspaces in the order of the sheet
 * @param kinds kinds of work for which the sheet has a column
 * @param defaultPriorities priority by kind of work from the row of defaults
 * @param errors all wrong cells; the other values count only if there are none
 */
record Sheet(String date, List<SheetRow> rows, Set<String> kinds, Map<String, Integer> defaultPriorities,
		List<SheetError> errors) {

	Sheet {
		rows = List.copyOf(rows);
		kinds = Set.copyOf(kinds);
		defaultPriorities = Map.copyOf(defaultPriorities);
		errors = List.copyOf(errors);
	}

}
