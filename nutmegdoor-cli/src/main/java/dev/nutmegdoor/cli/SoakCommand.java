package dev.nutmegdoor.cli;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

import dev.nutmegdoor.core.program.Safeguards;
import dev.nutmegdoor.experiment.soak.FaultKind;
import dev.nutmegdoor.experiment.soak.SoakReport;
import dev.nutmegdoor.experiment.soak.SoakRun;
import dev.nutmegdoor.experiment.soak.SoakSettings;

/**
 * Runs the controllers of several instances on virtual time with faults from a seed.
 */
final class SoakCommand implements Command {

	private static final int DEFAULT_STEPS = 2_000;

	private static final int LARGEST_COUNT = 10_000;

	@Override
	public String name() {
		return "soak";
	}

	@Override
	public String summary() {
		return "run several instances on virtual time with random faults";
	}

	@Override
	public Options options() {
		return new Options().addOption(option("seed", "S", "seed of the run, default 1"))
			.addOption(option("steps", "N", "number of steps, default " + DEFAULT_STEPS))
			.addOption(option("seeds", "COUNT", "run that many seeds one after the other, default 1"))
			.addOption(option("faults", "LIST", "'all', 'none' or kinds separated by commas: "
					+ Arrays.stream(FaultKind.values()).map(FaultKind::optionName).collect(Collectors.joining(", "))));
	}

	private static Option option(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).build();
	}

	@Override
	public ExitCode run(CommandLine line, Console console) {
		long seed = number(line, "seed", 1, Long.MIN_VALUE, Long.MAX_VALUE);
		int steps = (int) number(line, "steps", DEFAULT_STEPS, 1, 1_000_000);
		int seeds = (int) number(line, "seeds", 1, 1, LARGEST_COUNT);
		Set<FaultKind> faults = faults(line.getOptionValue("faults", "all"));
		int failed = 0;
		for (int i = 0; i < seeds; i++) {
			SoakReport report = new SoakRun(new SoakSettings(seed + i, steps, faults, Safeguards.ALL)).run();
			boolean isClean = report.violationCount() == 0;
			failed += isClean ? 0 : 1;
			List<String> lines = (seeds == 1 || !isClean) ? report.lines() : List.of(report.summary());
			lines.forEach(console.out()::println);
		}
		if (seeds > 1) {
			console.out().println("seeds=" + seeds + " steps=" + steps + " failed=" + failed);
		}
		return (failed == 0) ? ExitCode.OK : ExitCode.FAILURE;
	}

	private static long number(CommandLine line, String name, long defaultValue, long least, long largest) {
		String text = line.getOptionValue(name);
		if (text == null) {
			return defaultValue;
		}
		try {
			long value = Long.parseLong(text);
			if (value < least || value > largest) {
				throw new UsageException("--" + name + " must be from " + least + " to " + largest);
			}
			return value;
		}
		catch (NumberFormatException ex) {
			throw new UsageException("--" + name + " must be a number but is '" + text + "'");
		}
	}

	private static Set<FaultKind> faults(String list) {
		if (list.equals("all")) {
			return FaultKind.all();
		}
		Set<FaultKind> faults = EnumSet.noneOf(FaultKind.class);
		if (list.equals("none")) {
			return faults;
		}
		for (String name : list.split(",")) {
			faults.add(Arrays.stream(FaultKind.values())
				.filter((kind) -> kind.optionName().equals(name.strip()))
				.findFirst()
				.orElseThrow(() -> new UsageException("unknown kind of fault '" + name + "'")));
		}
		return faults;
	}

}
