package dev.nutmegdoor.cli;

import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

import dev.nutmegdoor.experiment.limits.MembershipCost;
import dev.nutmegdoor.experiment.limits.MembershipCostExperiment;

/**
 * Measures what membership and leases cost at several sizes of the fleet.
 */
final class ExperimentMembershipCommand implements Command {

	@Override
	public String name() {
		return "experiment membership";
	}

	@Override
	public String summary() {
		return "measure messages of membership and leases by size of the fleet, on virtual time";
	}

	@Override
	public Options options() {
		return new Options().addOption(Option.builder().longOpt("json").desc("print JSON instead of a table").build());
	}

	@Override
	public ExitCode run(CommandLine line, Console console) {
		List<MembershipCost> costs = MembershipCostExperiment.run();
		if (line.hasOption("json")) {
			try {
				console.out()
					.println(new ObjectMapper().writerWithDefaultPrettyPrinter()
						.writeValueAsString(Map.of("rows", costs)));
			}
			catch (JsonProcessingException ex) {
				throw new IllegalStateException("failed to write the rows", ex);
			}
			return ExitCode.OK;
		}
		console.out()
			.printf("%10s %6s %12s %12s %14s%n", "instances", "zones", "messages/s", "bytes/s", "store calls/s");
		for (MembershipCost cost : costs) {
			console.out()
				.printf(Locale.ROOT, "%10d %6d %12.1f %12.0f %14.1f%n", cost.instances(), cost.zones(),
						cost.messagesPerSecond(), cost.bytesPerSecond(), cost.storeCallsPerSecond());
		}
		return ExitCode.OK;
	}

}
