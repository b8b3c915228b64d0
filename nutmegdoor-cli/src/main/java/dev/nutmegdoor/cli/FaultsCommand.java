package dev.nutmegdoor.cli;

import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

import dev.nutmegdoor.experiment.faults.CellResult;
import dev.nutmegdoor.experiment.faults.FaultMatrix;

/**
 * Runs the fault matrix.
 */
final class FaultsCommand implements Command {

	@Override
	public String name() {
		return "faults";
	}

	@Override
	public String summary() {
		return "run every protocol step with every kind of fault on virtual time";
	}

	@Override
	public Options options() {
		return new Options().addOption(
				Option.builder().longOpt("seed").hasArg().argName("S").desc("seed of all cells, default 1").build());
	}

	@Override
	public ExitCode run(CommandLine line, Console console) {
		long seed;
		try {
			seed = Long.parseLong(line.getOptionValue("seed", "1"));
		}
		catch (NumberFormatException ex) {
			throw new UsageException("--seed must be a number but is '" + line.getOptionValue("seed") + "'");
		}
		List<CellResult> results = new FaultMatrix(seed).runAll(console.out()::println);
		for (CellResult result : results) {
			result.violations()
				.forEach((violation) -> console.out()
					.println("violation " + result.step() + " " + result.fault() + " " + violation));
		}
		long passed = results.stream().filter(CellResult::isPassed).count();
		console.out().println("cells=" + results.size() + " passed=" + passed + " failed=" + (results.size() - passed));
		return (passed == results.size()) ? ExitCode.OK : ExitCode.FAILURE;
	}

}
