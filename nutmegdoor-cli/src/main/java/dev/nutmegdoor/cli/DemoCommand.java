package dev.nutmegdoor.cli;

import java.util.Locale;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.experiment.load.ClusterFleet;
import dev.nutmegdoor.experiment.load.Demo;
import dev.nutmegdoor.experiment.load.DemoDeployment;
import dev.nutmegdoor.experiment.load.DemoResult;
import dev.nutmegdoor.experiment.load.DemoSettings;
import dev.nutmegdoor.experiment.load.FleetFactory;
import dev.nutmegdoor.node.LoggingEventLog;

/**
 * Runs a whole deployment under load in this process and prints what was observed.
 */
final class DemoCommand implements Command {

	private static final int MAX_SECONDS = 3_600;

	@Override
	public String name() {
		return "demo";
	}

	@Override
	public String summary() {
		return "runs a deployment under load in one process; exit code 1 if anything was violated";
	}

	@Override
	public Options options() {
		return new Options().addOption(option("deployment", "NAME", "rift (default) or sautiwazi"))
			.addOption(option("seconds", "N", "duration of the load, default 30"))
			.addOption(option("seed", "S", "seed of the run, default 1"))
			.addOption(Option.builder().longOpt("json").desc("print one JSON object").build())
			.addOption(Option.builder().longOpt("events").desc("log the events of all instances").build());
	}

	private static Option option(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).build();
	}

	@Override
	public ExitCode run(CommandLine line, Console console) {
		DemoSettings settings = new DemoSettings(deployment(line.getOptionValue("deployment", "rift")),
				(int) number(line, "seconds", 30, 5, MAX_SECONDS), number(line, "seed", 1, 0, Long.MAX_VALUE));
		try {
			EventLog events = line.hasOption("events") ? new LoggingEventLog() : EventLog.NONE;
			FleetFactory fleets = (configuration, zones, instancesPerZone) -> new ClusterFleet(configuration, zones,
					instancesPerZone, events);
			DemoResult result = new Demo(settings, fleets, console.err()::println).run();
			console.out().println(line.hasOption("json") ? result.toJson() : result.toTable());
			return result.isClean() ? ExitCode.OK : ExitCode.FAILURE;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.FAILURE;
		}
	}

	private static DemoDeployment deployment(String text) {
		for (DemoDeployment deployment : DemoDeployment.values()) {
			if (deployment.name().toLowerCase(Locale.ROOT).equals(text)) {
				return deployment;
			}
		}
		throw new UsageException("--deployment must be rift or sautiwazi but is '" + text + "'");
	}

	private static long number(CommandLine line, String name, long standard, long minimum, long maximum) {
		String text = line.getOptionValue(name, Long.toString(standard));
		try {
			long number = Long.parseLong(text);
			if (number >= minimum && number <= maximum) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with numbers out of range.
		}
		throw new UsageException(
				"--" + name + " must be a whole number from " + minimum + " to " + maximum + " but is '" + text + "'");
	}

}
