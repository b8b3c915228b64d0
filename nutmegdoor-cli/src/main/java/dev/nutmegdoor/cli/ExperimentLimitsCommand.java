package dev.nutmegdoor.cli;

import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

import dev.nutmegdoor.experiment.limits.LimitRow;
import dev.nutmegdoor.experiment.limits.LimitsExperiment;

/**
 * Compares ways to limit rates across instances.
 */
final class ExperimentLimitsCommand implements Command {

	private static final int DEFAULT_SEEDS = 10;

	private static final int MAX_SEEDS = 1000;

	@Override
	public String name() {
		return "experiment limits";
	}

	@Override
	public String summary() {
		return "compare ways to limit rates across instances, on virtual time";
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(
					Option.builder().longOpt("seeds").hasArg().argName("N").desc("number of seeds, default 10").build())
			.addOption(Option.builder().longOpt("json").desc("print JSON instead of a table").build());
	}

	@Override
	public ExitCode run(CommandLine line, Console console) {
		List<LimitRow> rows = LimitsExperiment.run(seeds(line));
		if (line.hasOption("json")) {
			try {
				console.out()
					.println(new ObjectMapper().writerWithDefaultPrettyPrinter()
						.writeValueAsString(Map.of("rows", rows)));
			}
			catch (JsonProcessingException ex) {
				throw new IllegalStateException("failed to write the rows", ex);
			}
		}
		else {
			print(rows, console);
		}
		boolean isViolated = rows.stream()
			.anyMatch((row) -> row.mechanism().equals("shipped") && (row.overAdmitted() > 0 || row.violations() > 0));
		return isViolated ? ExitCode.FAILURE : ExitCode.OK;
	}

	private static int seeds(CommandLine line) {
		String value = line.getOptionValue("seeds", String.valueOf(DEFAULT_SEEDS));
		try {
			int seeds = Integer.parseInt(value);
			if (seeds >= 1 && seeds <= MAX_SEEDS) {
				return seeds;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below, like a number out of range.
		}
		throw new UsageException("--seeds must be a number from 1 to " + MAX_SEEDS + " but is '" + value + "'");
	}

	private static void print(List<LimitRow> rows, Console console) {
		console.out()
			.printf("%-20s %-15s %10s %10s %18s %8s %6s %10s%n", "scenario", "mechanism", "within", "refused",
					"refused % (95 %)", "forced", "over", "messages/s");
		for (LimitRow row : rows) {
			String share = String.format(Locale.ROOT, "%.3f ± %.3f", 100 * row.refusedShare(),
					100 * row.refusedShareConfidence());
			console.out()
				.printf(Locale.ROOT, "%-20s %-15s %10d %10d %18s %8d %6d %10.0f%n", row.scenario(), row.mechanism(),
						row.offeredWithinRate(), row.refusedWithinRate(), share, row.forcedRefusals(),
						row.overAdmitted(), row.messagesPerSecond());
		}
	}

}
