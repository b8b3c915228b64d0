package dev.nutmegdoor.node.sheet;

import java.io.IOException;
import java.time.LocalDate;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvParser;

/**
 * Parses and checks a sheet; see {@code docs/sheet.md}. All wrong cells are reported.
 */
final class SheetReader {

	static final String DATE = "date";

	static final String WORKSPACE = "workspace";

	static final String RATE = "ratePerSecond";

	static final String BURST = "burst";

	static final String WEIGHT = "weight";

	static final String KEYS = "keys";

	static final String PRIORITY = "priority:";

	/** Workspace of the row with the default priorities. */
	static final String DEFAULTS = "*";

	private static final Set<String> REQUIRED = Set.of(DATE, WORKSPACE, RATE, BURST);

	private static final Set<String> OPTIONAL = Set.of(WEIGHT, KEYS);

	/** About five times the workspaces expected in two years. */
	private static final int MAX_ROWS = 100_000;

	private static final int MAX_PRIORITY = 1_000;

	private static final Pattern IDENTIFIER = Pattern.compile("[^\\s/\\p{Cntrl}]{1,128}");

	private static final Pattern KEY = Pattern.compile("([^\\s/:_]{1,64}):([0-9a-f]{64})");

	private static final CsvMapper MAPPER = CsvMapper.builder().enable(CsvParser.Feature.WRAP_AS_ARRAY).build();

	private final List<SheetError> errors = new ArrayList<>();

	private final List<SheetRow> rows = new ArrayList<>();

	private final Map<String, Integer> columns = new LinkedHashMap<>();

	private final Map<String, Integer> defaultPriorities = new HashMap<>();

	private final Set<String> workspaces = new HashSet<>();

	private final Set<String> keys = new HashSet<>();

	private String date = "";

	private SheetReader() {
	}

	static Sheet read(String csv) {
		return new SheetReader().parse(csv.startsWith("\ufeff") ? csv.substring(1) : csv);
	}

	private Sheet parse(String csv) {
		int row = 0;
		try (MappingIterator<String[]> lines = MAPPER.readerFor(String[].class).readValues(csv)) {
			while (lines.hasNextValue() && row <= MAX_ROWS) {
				row++;
				String[] cells = lines.nextValue();
				if (row == 1) {
					readHeader(cells);
				}
				else if (this.errors.isEmpty() || !this.columns.isEmpty()) {
					readRow(new SheetCells(row, this.columns, cells, this.errors), cells.length);
				}
			}
		}
		catch (IOException ex) {
			this.errors.add(new SheetError(row + 1, "", String.valueOf(ex.getMessage()), "a well-formed CSV row"));
		}
		if (row < 2) {
			this.errors.add(new SheetError(row, "", "", "a header row and at least one workspace"));
		}
		if (row > MAX_ROWS) {
			this.errors.add(new SheetError(row, "", "", "at most " + MAX_ROWS + " rows"));
		}
		Set<String> kinds = new HashSet<>();
		this.columns.keySet()
			.stream()
			.filter((name) -> name.startsWith(PRIORITY))
			.map(SheetReader::kindOf)
			.forEach(kinds::add);
		return new Sheet(this.date, this.rows, kinds, this.defaultPriorities, this.errors);
	}

	private static String kindOf(String column) {
		return column.substring(PRIORITY.length());
	}

	private void readHeader(String[] cells) {
		for (int i = 0; i < cells.length; i++) {
			String name = cells[i].strip();
			boolean isPriority = name.startsWith(PRIORITY) && IDENTIFIER.matcher(kindOf(name)).matches();
			if (!isPriority && !REQUIRED.contains(name) && !OPTIONAL.contains(name)) {
				this.errors.add(new SheetError(1, name, name, "one of " + REQUIRED.stream().sorted().toList() + ", "
						+ OPTIONAL.stream().sorted().toList() + " or " + PRIORITY + "<kind of work>"));
			}
			else if (this.columns.putIfAbsent(name, i) != null) {
				this.errors.add(new SheetError(1, name, name, "each column once"));
			}
		}
		for (String name : REQUIRED.stream().sorted().toList()) {
			if (!this.columns.containsKey(name)) {
				this.errors.add(new SheetError(1, name, "", "a column " + name));
			}
		}
		if (!this.columns.keySet().containsAll(REQUIRED)) {
			// Without a required column every row would be wrong for the same reason.
			this.columns.clear();
		}
	}

	private void readRow(SheetCells cells, int width) {
		if (width != this.columns.size()) {
			this.errors.add(new SheetError(cells.row(), "", width + " cells", this.columns.size() + " cells"));
			return;
		}
		readDate(cells);
		String workspace = cells.text(WORKSPACE);
		if (!this.workspaces.add(workspace)) {
			cells.wrong(WORKSPACE, "each workspace once");
		}
		Map<String, Integer> priorities = readPriorities(cells);
		if (workspace.equals(DEFAULTS)) {
			this.defaultPriorities.putAll(priorities);
			for (String column : List.of(RATE, BURST, WEIGHT, KEYS)) {
				if (!cells.text(column).isEmpty()) {
					cells.wrong(column, "an empty cell in the row of defaults");
				}
			}
			return;
		}
		if (!IDENTIFIER.matcher(workspace).matches()) {
			cells.wrong(WORKSPACE, "an identifier of 1 to 128 characters without spaces or '/'");
		}
		this.rows.add(new SheetRow(cells.row(), workspace, cells.decimal(RATE, 0, 1_000_000),
				cells.whole(BURST, 1, 10_000_000, 0), cells.whole(WEIGHT, 1, 1_000_000, 1), readKeys(cells),
				priorities));
	}

	private void readDate(SheetCells cells) {
		String text = cells.text(DATE);
		try {
			LocalDate.parse(text);
		}
		catch (DateTimeParseException ex) {
			cells.wrong(DATE, "a date as yyyy-MM-dd");
			return;
		}
		if (this.date.isEmpty()) {
			this.date = text;
		}
		else if (!this.date.equals(text)) {
			cells.wrong(DATE, "the date of the first row, " + this.date);
		}
	}

	private Map<String, Integer> readPriorities(SheetCells cells) {
		Map<String, Integer> priorities = new HashMap<>();
		for (String column : this.columns.keySet()) {
			if (column.startsWith(PRIORITY) && !cells.text(column).isEmpty()) {
				priorities.put(kindOf(column), cells.whole(column, 0, MAX_PRIORITY, -1));
			}
		}
		return priorities;
	}

	private Map<String, String> readKeys(SheetCells cells) {
		Map<String, String> hashes = new HashMap<>();
		String text = cells.text(KEYS);
		if (text.isEmpty()) {
			return hashes;
		}
		for (String part : text.split("\\s+")) {
			Matcher matcher = KEY.matcher(part);
			if (!matcher.matches()) {
				// The whole key may have been pasted here, so it is not repeated.
				this.errors.add(new SheetError(cells.row(), KEYS, "(not shown)",
						"entries <key id>:<SHA-256 as 64 lower-case hexadecimal digits>"));
			}
			else if (!this.keys.add(matcher.group(1))) {
				this.errors.add(new SheetError(cells.row(), KEYS, matcher.group(1), "each key once"));
			}
			else {
				hashes.put(matcher.group(1), matcher.group(2));
			}
		}
		return hashes;
	}

}
