package dev.nutmegdoor.cli;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;

/**
 * Difference between the rows of the list and those of the main classes.
 */
final class OuterNamesDifference {

	private final List<OuterNameRow> gone;

	private final List<OuterNameRow> added;

	private final Set<OuterNameRow.Kind> kinds = EnumSet.noneOf(OuterNameRow.Kind.class);

	private final List<String> lines = new ArrayList<>();

	OuterNamesDifference(List<OuterNameRow> expected, List<OuterNameRow> actual) {
		this.gone = subtract(expected, actual);
		this.added = subtract(actual, expected);
		pair((before, after) -> before.key().equals(after.key()), this::reportNames);
		pair((before, after) -> !before.names().isEmpty() && before.names().equals(after.names()), this::reportKey);
		this.gone.forEach((row) -> report(row, "gone:    " + row));
		this.added.forEach((row) -> report(row, "new:     " + row));
	}

	private static List<OuterNameRow> subtract(List<OuterNameRow> rows, List<OuterNameRow> others) {
		List<OuterNameRow> rest = new ArrayList<>(rows);
		others.forEach(rest::remove);
		return rest;
	}

	private void pair(BiPredicate<OuterNameRow, OuterNameRow> isSame, Reporter reporter) {
		for (OuterNameRow before : List.copyOf(this.gone)) {
			for (OuterNameRow after : List.copyOf(this.added)) {
				if (this.gone.contains(before) && before.kind() == after.kind() && isSame.test(before, after)) {
					this.gone.remove(before);
					this.added.remove(after);
					reporter.report(before, after);
				}
			}
		}
	}

	private void reportNames(OuterNameRow before, OuterNameRow after) {
		List<String> goneNames = new ArrayList<>(before.names());
		goneNames.removeAll(after.names());
		List<String> addedNames = new ArrayList<>(after.names());
		addedNames.removeAll(before.names());
		String change = (goneNames.isEmpty() && addedNames.isEmpty())
				? "order was " + before.names() + ", is " + after.names()
				: "gone " + goneNames + ", added " + addedNames;
		report(before, "changed: " + before.kind() + " " + before.key() + ": " + change);
	}

	private void reportKey(OuterNameRow before, OuterNameRow after) {
		String advice = before.kind().isKeyInternal() ? "; if the class was renamed, change only the key in the list"
				: "; the outer name must stay";
		report(before, "key:     " + before.kind() + " " + before.key() + " is now " + after.key() + advice);
	}

	private void report(OuterNameRow row, String line) {
		this.kinds.add(row.kind());
		this.lines.add(line);
	}

	boolean isEmpty() {
		return this.lines.isEmpty();
	}

	@Override
	public String toString() {
		StringBuilder text = new StringBuilder("names that leave the process differ from the list:\n");
		this.lines.forEach((line) -> text.append("  ").append(line).append('\n'));
		text.append("how to fix:\n");
		this.kinds.forEach((kind) -> text.append("  ").append(kind).append(": ").append(kind.advice()).append('\n'));
		text.append("  a name that is new on purpose: add it to the list\n");
		return text.toString();
	}

	private interface Reporter {

		void report(OuterNameRow before, OuterNameRow after);

	}

}
