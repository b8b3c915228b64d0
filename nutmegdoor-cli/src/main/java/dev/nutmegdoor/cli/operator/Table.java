package dev.nutmegdoor.cli.operator;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Prints JSON for people: arrays of objects as tables, anything else indented.
 */
final class Table {

	private final List<String> columns;

	/**
	 * Creates a table.
	 * @param columns names of the fields to show, dots select nested fields
	 */
	Table(List<String> columns) {
		this.columns = List.copyOf(columns);
	}

	void print(JsonNode rows, PrintStream out) {
		List<List<String>> lines = new ArrayList<>();
		lines.add(this.columns.stream().map((name) -> name.toUpperCase(Locale.ROOT)).toList());
		for (JsonNode row : rows) {
			lines.add(this.columns.stream().map((name) -> cell(row, name)).toList());
		}
		int[] widths = new int[this.columns.size()];
		for (List<String> line : lines) {
			for (int i = 0; i < widths.length; i++) {
				widths[i] = Math.max(widths[i], line.get(i).length());
			}
		}
		for (List<String> line : lines) {
			out.println(format(line, widths));
		}
	}

	private static String format(List<String> line, int[] widths) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < line.size(); i++) {
			text.append(line.get(i));
			if (i < line.size() - 1) {
				text.append(" ".repeat(widths[i] - line.get(i).length() + 2));
			}
		}
		return text.toString().stripTrailing();
	}

	private static String cell(JsonNode row, String column) {
		JsonNode node = row;
		for (String part : column.split("\\.")) {
			node = node.path(part);
		}
		if (node.isMissingNode() || node.isNull()) {
			return "-";
		}
		return node.isValueNode() ? node.asText() : node.toString();
	}

}
