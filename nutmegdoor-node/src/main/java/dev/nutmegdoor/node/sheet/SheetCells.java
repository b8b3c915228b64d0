package dev.nutmegdoor.node.sheet;

import java.util.List;
import java.util.Map;

/**
 * Reads the cells of one row and collects what is wrong.
 */
final class SheetCells {

	private final int row;

	private final Map<String, Integer> columns;

	private final String[] cells;

	private final List<SheetError> errors;

	SheetCells(int row, Map<String, Integer> columns, String[] cells, List<SheetError> errors) {
		this.row = row;
		this.columns = columns;
		this.cells = cells;
		this.errors = errors;
	}

	int row() {
		return this.row;
	}

	String text(String column) {
		Integer index = this.columns.get(column);
		return (index != null && index < this.cells.length) ? this.cells[index].strip() : "";
	}

	int whole(String column, int min, int max, int defaultValue) {
		String text = text(column);
		if (text.isEmpty() && defaultValue >= min) {
			return defaultValue;
		}
		try {
			int value = Integer.parseInt(text);
			if (value >= min && value <= max) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with numbers out of range.
		}
		wrong(column, "a whole number from " + min + " to " + max);
		return min;
	}

	double decimal(String column, double min, double max) {
		try {
			double value = Double.parseDouble(text(column));
			if (value >= min && value <= max) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with numbers out of range.
		}
		wrong(column, "a number from " + min + " to " + max + " with a decimal point");
		return min;
	}

	void wrong(String column, String expectation) {
		this.errors.add(new SheetError(this.row, column, text(column), expectation));
	}

}
