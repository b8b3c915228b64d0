package dev.nutmegdoor.node.sheet;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.ConfigurationChangeResult;

/**
 * Answer to the load of a sheet.
 *
 * @param outcome the outcome
 * @param errors wrong cells
 * @param plan what the sheet changes, or {@code null} if cells are wrong
 * @param change outcome of the change, or {@code null} if none was attempted
 */
public record SheetResult(SheetOutcome outcome, List<SheetError> errors, @Nullable SheetPlan plan,
		@Nullable ConfigurationChangeResult change) {

	public SheetResult {
		errors = List.copyOf(errors);
	}

}
