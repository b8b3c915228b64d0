package dev.nutmegdoor.cli;

import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

import dev.nutmegdoor.experiment.capacity.CapacityExperiment;
import dev.nutmegdoor.experiment.capacity.CapacityRow;

/**
 * Measures how the cost of control grows.
 */
final class ExperimentCapacityCommand implements Command {

	@Override
	public String name() {
		return "experiment capacity";
	}

	@Override
	public String summary() {
		return "measure how the cost of control grows with the size of a deployment";
	}

	@Override
	public Options options() {
		return new Options().addOption(Option.builder().longOpt("json").desc("print JSON instead of a table").build());
	}

	@Override
	public ExitCode run(CommandLine line, Console console) {
		List<CapacityRow> rows = CapacityExperiment.run((name) -> console.err().println("measuring " + name));
		if (line.hasOption("json")) {
			try {
				console.out().println(new ObjectMapper().writeValueAsString(Map.of("rows", rows)));
			}
			catch (JsonProcessingException ex) {
				throw new IllegalStateException("failed to write the rows", ex);
			}
			return ExitCode.OK;
		}
		console.out()
			.printf("%-22s %-20s %-11s %-40s %12s %12s %12s%n", "quantity", "unit", "driver", "size=cost", "slope",
					"fit error", "at target");
		for (CapacityRow row : rows) {
			StringBuilder points = new StringBuilder();
			row.points()
				.forEach((point) -> points.append(String.format(Locale.ROOT, "%d=%.3g ", point.size(), point.cost())));
			console.out()
				.printf(Locale.ROOT, "%-22s %-20s %-11s %-40s %12.4g %12.3g %12.4g%n", row.quantity(), row.unit(),
						row.driver(), points.toString().strip(), row.fit().slope(), row.fit().largestError(),
						row.atTarget());
		}
		return ExitCode.OK;
	}

}
