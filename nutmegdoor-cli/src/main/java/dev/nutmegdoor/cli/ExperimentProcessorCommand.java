package dev.nutmegdoor.cli;

import java.nio.file.Path;
import java.util.Locale;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

import dev.nutmegdoor.experiment.processor.ProcessorExperiment;
import dev.nutmegdoor.experiment.processor.ProcessorOptions;
import dev.nutmegdoor.experiment.processor.ProcessorRow;

/**
 * Measures the processor time of processes, or records the classes that they load.
 */
final class ExperimentProcessorCommand implements Command {

	@Override
	public String name() {
		return "experiment processor";
	}

	@Override
	public String summary() {
		return "measure the processor time of starts, idle processes, requests and turns of real processes";
	}

	@Override
	public Options options() {
		return new Options().addOption(option("root", "DIR", "folder of the measured build (default .)"))
			.addOption(option("other", "DIR", "folder of a build to compare with in the same run"))
			.addOption(option("gateways", "N", "gateways (default 20)"))
			.addOption(option("ledgers", "N", "ledger replicas (default 4)"))
			.addOption(option("starts", "N", "starts of each role (default 5)"))
			.addOption(option("idle", "S", "seconds without traffic (default 20)"))
			.addOption(option("requests", "N", "requests of each kind (default 400)"))
			.addOption(option("record-classes", "FILE", "write the list of classes for the class data archive"));
	}

	private static Option option(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).build();
	}

	@Override
	public ExitCode run(CommandLine line, Console console) {
		ProcessorOptions options;
		try {
			options = new ProcessorOptions(number(line, "gateways", 20), number(line, "ledgers", 4),
					number(line, "starts", 5), number(line, "idle", 20) * 1_000L, number(line, "requests", 400));
		}
		catch (IllegalArgumentException ex) {
			throw new UsageException(String.valueOf(ex.getMessage()));
		}
		Path root = Path.of(line.getOptionValue("root", "."));
		String classes = line.getOptionValue("record-classes");
		if (classes != null) {
			ProcessorExperiment.recordClasses(root, Path.of(classes), options);
			return ExitCode.OK;
		}
		String other = line.getOptionValue("other");
		console.out().printf("%-40s %-6s %12s %8s%n", "quantity", "build", "value", "ratio");
		for (ProcessorRow row : ProcessorExperiment.run(root, (other != null) ? Path.of(other) : null, options,
				(step) -> console.err().println(step))) {
			console.out()
				.printf(Locale.ROOT, "%-40s %-6s %12.4f %8.3f%n", row.quantity(), row.build(), row.value(),
						row.ratio());
		}
		return ExitCode.OK;
	}

	private static int number(CommandLine line, String name, int defaultValue) {
		return Integer.parseInt(line.getOptionValue(name, Integer.toString(defaultValue)));
	}

}
