package dev.nutmegdoor.cli;

import java.util.ArrayList;
import java.util.List;

import dev.nutmegdoor.cli.operator.OperatorCommands;

/**
 * All commands, in the order in which {@code --help} lists them.
 */
final class Commands {

	private Commands() {
	}

	/**
	 * Creates the commands that the first word of a command line may select. A process of
	 * a deployment starts without the classes of all other commands.
	 * @param firstWord first word of the command line
	 * @return at least the commands whose name begins with this word
	 */
	static List<Command> startingWith(String firstWord) {
		return switch (firstWord) {
			case "gateway" -> List.of(new GatewayCommand());
			case "ledger" -> List.of(new LedgerCommand());
			default -> all();
		};
	}

	static List<Command> all() {
		List<Command> commands = new ArrayList<>();
		commands.add(new EntryCommand());
		commands.add(new GatewayCommand());
		commands.add(new LedgerCommand());
		commands.add(new StandinCommand("engine"));
		commands.add(new StandinCommand("service"));
		commands.add(new PlatformStandinCommand());
		commands.add(new DemoCommand());
		commands.add(new SoakCommand());
		commands.add(new FaultsCommand());
		commands.add(new ExperimentLimitsCommand());
		commands.add(new ExperimentMembershipCommand());
		commands.add(new ExperimentSchedulingCommand());
		commands.add(new ExperimentCapacityCommand());
		commands.add(new ExperimentProcessorCommand());
		commands.addAll(OperatorCommands.create(System.getenv()));
		return commands;
	}

}
