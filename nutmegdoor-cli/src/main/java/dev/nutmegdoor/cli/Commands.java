package dev.nutmegdoor.cli;

import java.util.List;

/**
 * All commands, in the order in which {@code --help} lists them.
 */
final class Commands {

	private Commands() {
	}

	static List<Command> all() {
		return List.of(new EntryCommand(), new StandinCommand("engine"), new StandinCommand("service"),
				new DemoCommand());
	}

}
