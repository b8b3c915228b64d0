package dev.nutmegdoor.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * A command of the command line. Implementations are listed in {@link Commands}.
 */
public interface Command {

	/**
	 * Returns the words that select the command, such as {@code key issue}.
	 * @return words separated by single spaces
	 */
	String name();

	/**
	 * Returns what the command does.
	 * @return one line for {@code --help}
	 */
	String summary();

	/**
	 * Returns the arguments that follow the options, such as {@code FILE}.
	 * @return text for the usage line, empty if there are none
	 */
	default String argumentsUsage() {
		return "";
	}

	/**
	 * Returns the options besides {@code --help}.
	 * @return the options
	 */
	Options options();

	/**
	 * Runs the command.
	 * @param line parsed options and arguments
	 * @param console where to print
	 * @return the exit code
	 * @throws UsageException if an option or argument is wrong
	 */
	ExitCode run(CommandLine line, Console console);

}
