package dev.nutmegdoor.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.jspecify.annotations.Nullable;

/**
 * Entry point of {@code bin/nutmegdoor}: selects a command by the first words, parses its
 * options and turns its outcome into an exit code.
 */
public final class Main {

	private static final int HELP_WIDTH = 100;

	private final List<Command> commands;

	private final Console console;

	Main(List<Command> commands, Console console) {
		this.commands = List.copyOf(commands);
		this.console = console;
	}

	public static void main(String[] args) {
		Console console = new Console(new PrintStream(System.out, true, StandardCharsets.UTF_8),
				new PrintStream(System.err, true, StandardCharsets.UTF_8));
		List<Command> commands = (args.length > 0) ? Commands.startingWith(args[0]) : Commands.all();
		ExitCode code = new Main(commands, console).run(args);
		System.exit(code.value());
	}

	ExitCode run(String[] args) {
		if (args.length == 0) {
			printOverview(this.console.err());
			return ExitCode.USAGE;
		}
		if (args[0].equals("--help") || args[0].equals("-h")) {
			printOverview(this.console.out());
			return ExitCode.OK;
		}
		if (args[0].equals("--version")) {
			this.console.out().println("nutmegdoor " + Version.current());
			return ExitCode.OK;
		}
		Command command = select(args);
		if (command == null) {
			return reportUsage("unknown command '" + args[0] + "'; see nutmegdoor --help");
		}
		int words = command.name().split(" ").length;
		return run(command, Arrays.copyOfRange(args, words, args.length));
	}

	private ExitCode run(Command command, String[] args) {
		if (Arrays.asList(args).contains("--help")) {
			printHelp(command);
			return ExitCode.OK;
		}
		if (Arrays.asList(args).contains("--version")) {
			this.console.out().println("nutmegdoor " + Version.current());
			return ExitCode.OK;
		}
		try {
			CommandLine line = new DefaultParser().parse(command.options(), args);
			return command.run(line, this.console);
		}
		catch (ParseException | UsageException ex) {
			return reportUsage(ex.getMessage() + "; see nutmegdoor " + command.name() + " --help");
		}
	}

	private ExitCode reportUsage(String message) {
		this.console.err().println("nutmegdoor: " + message);
		return ExitCode.USAGE;
	}

	private @Nullable Command select(String[] args) {
		Command best = null;
		for (Command command : this.commands) {
			List<String> words = Arrays.asList(command.name().split(" "));
			boolean isMatch = args.length >= words.size() && words.equals(Arrays.asList(args).subList(0, words.size()));
			if (isMatch && (best == null || best.name().length() < command.name().length())) {
				best = command;
			}
		}
		return best;
	}

	private void printOverview(PrintStream stream) {
		stream.println("usage: nutmegdoor COMMAND [OPTIONS]");
		stream.println();
		for (Command command : this.commands) {
			stream.printf("  %-24s %s%n", command.name(), command.summary());
		}
		stream.println();
		stream.println("Each command has --help. Exit codes: 0 done, 1 failed or violated, 2 wrong usage or");
		stream.println("settings, 3 endpoint not reachable.");
	}

	private void printHelp(Command command) {
		PrintWriter writer = new PrintWriter(this.console.out(), true, StandardCharsets.UTF_8);
		String usage = ("nutmegdoor " + command.name() + " [OPTIONS] " + command.argumentsUsage()).strip();
		Options options = command.options();
		HelpFormatter formatter = new HelpFormatter();
		formatter.printHelp(writer, HELP_WIDTH, usage, command.summary(), options, 2, 2, "");
		writer.flush();
	}

}
