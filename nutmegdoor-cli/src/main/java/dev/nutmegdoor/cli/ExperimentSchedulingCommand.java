package dev.nutmegdoor.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.experiment.scheduling.Deployment;
import dev.nutmegdoor.experiment.scheduling.Policy;
import dev.nutmegdoor.experiment.scheduling.ResultRow;
import dev.nutmegdoor.experiment.scheduling.ResultWriter;
import dev.nutmegdoor.experiment.scheduling.Scenario;
import dev.nutmegdoor.experiment.scheduling.SchedulingExperiment;
import dev.nutmegdoor.experiment.scheduling.SchedulingOptions;

/**
 * Runs the comparison of scheduling policies.
 */
final class ExperimentSchedulingCommand implements Command {

	private static final int MAX_THREADS = 8;

	@Override
	public String name() {
		return "experiment scheduling";
	}

	@Override
	public String summary() {
		return "compares scheduling policies on virtual time with the same arrivals";
	}

	@Override
	public Options options() {
		return new Options().addOption(option("deployment", "NAME", "rift (default) or sautiwazi"))
			.addOption(option("load", "LIST", "offered work over capacity, default 0.5,0.8,0.95"))
			.addOption(option("seed", "S", "first seed, default 1"))
			.addOption(option("seeds", "N", "number of seeds, default 10"))
			.addOption(option("policy", "LIST", "policies, default all"))
			.addOption(option("scenario", "LIST", "scenarios, default all"))
			.addOption(option("threads", "N", "runs at a time, default 3"))
			.addOption(Option.builder().longOpt("json").desc("print an object with rows").build())
			.addOption(option("plot", "DIR", "write one PNG for each scenario to DIR"));
	}

	@Override
	public ExitCode run(CommandLine line, Console console) {
		SchedulingExperiment experiment = new SchedulingExperiment(parse(line));
		List<ResultRow> rows = experiment.run();
		if (line.hasOption("json")) {
			console.out().println(ResultWriter.toJson(rows));
		}
		else {
			print(rows, console.out());
		}
		String plotDirectory = line.getOptionValue("plot");
		if (plotDirectory != null) {
			ResultWriter.plot(rows, Path.of(plotDirectory));
		}
		return ExitCode.OK;
	}

	private static SchedulingOptions parse(CommandLine line) {
		try {
			Deployment deployment = Deployment.parse(line.getOptionValue("deployment", "rift"));
			List<Double> loads = new ArrayList<>();
			for (String load : line.getOptionValue("load", "0.5,0.8,0.95").split(",")) {
				double value = Double.parseDouble(load);
				if (!(value > 0 && value <= 2)) {
					throw new UsageException("--load must be above 0 and at most 2 but is " + load);
				}
				loads.add(value);
			}
			return new SchedulingOptions(deployment, loads, Long.parseLong(line.getOptionValue("seed", "1")),
					parseCount(line, "seeds", 10, 1_000), parsePolicies(line.getOptionValue("policy")),
					parseScenarios(line.getOptionValue("scenario")), parseCount(line, "threads", 3, MAX_THREADS));
		}
		catch (IllegalArgumentException ex) {
			throw new UsageException("wrong value of an option: " + ex.getMessage());
		}
	}

	private static List<Policy> parsePolicies(@Nullable String names) {
		if (names == null) {
			return Arrays.asList(Policy.values());
		}
		return Arrays.stream(names.split(",")).map((name) -> Policy.valueOf(name.toUpperCase(Locale.ROOT))).toList();
	}

	private static List<Scenario> parseScenarios(@Nullable String names) {
		if (names == null) {
			return Arrays.asList(Scenario.values());
		}
		return Arrays.stream(names.split(",")).map((name) -> Scenario.valueOf(name.toUpperCase(Locale.ROOT))).toList();
	}

	private static int parseCount(CommandLine line, String option, int defaultValue, int max) {
		int value = Integer.parseInt(line.getOptionValue(option, Integer.toString(defaultValue)));
		if (value < 1 || value > max) {
			throw new UsageException("--" + option + " must be between 1 and " + max + " but is " + value);
		}
		return value;
	}

	private static void print(List<ResultRow> rows, PrintStream out) {
		out.printf(Locale.ROOT, "%-12s %-12s %5s %9s %9s %9s %8s %7s %9s %7s %8s %6s %7s%n", "policy", "scenario",
				"load", "p50 ms", "p95 ms", "p99 ms", "slowdown", "wasted", "first ms", "next ms", "refused", "failed",
				"ctl/s");
		for (ResultRow row : rows) {
			if (row.mean().containsKey("decision_ns")) {
				out.printf(Locale.ROOT, "%-12s %-12s decision %.0f ns%n", row.policy(), row.scenario(),
						row.figure("decision_ns"));
				continue;
			}
			out.printf(Locale.ROOT, "%-12s %-12s %5.2f %9.0f %9.0f %9.0f %8.2f %7.4f %9.0f %7.1f %8.5f %6.1f %7.1f%n",
					row.policy(), row.scenario(), row.load(), row.figure("program_latency_ms.p50"),
					row.figure("program_latency_ms.p95"), row.figure("program_latency_ms.p99"),
					row.figure("worst_workspace_slowdown"), row.figure("wasted_cache_fraction"),
					row.figure("first_token_ms.p95"), row.figure("between_tokens_ms.p95"),
					row.figure("refused_within_rate"), row.figure("programs_failed"),
					row.figure("control_messages_per_s"));
		}
	}

	private static Option option(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).build();
	}

}
