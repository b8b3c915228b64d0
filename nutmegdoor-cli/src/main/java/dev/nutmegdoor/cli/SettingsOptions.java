package dev.nutmegdoor.cli;

import java.nio.file.Path;
import java.util.function.Function;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

import dev.nutmegdoor.node.settings.SettingsException;

/**
 * Options of commands that read a settings file.
 */
final class SettingsOptions {

	private SettingsOptions() {
	}

	static Option config() {
		return Option.builder().longOpt("config").hasArg().argName("FILE").required().desc("settings file").build();
	}

	static Option check() {
		return Option.builder().longOpt("check").desc("only check the settings").build();
	}

	private static ExitCode report(SettingsException exception, Console console) {
		exception.problems().forEach((problem) -> console.err().println(problem));
		return ExitCode.USAGE;
	}

	/**
	 * Reads and validates the file of {@code --config}; with {@code --check} that is all.
	 * @param line parsed options
	 * @param console where to print
	 * @param reader reads the settings
	 * @param action runs with valid settings
	 * @param <S> type of the settings
	 * @return the exit code
	 */
	static <S> ExitCode run(CommandLine line, Console console, Function<Path, S> reader, Function<S, ExitCode> action) {
		Path file = Path.of(line.getOptionValue("config"));
		S settings;
		try {
			settings = reader.apply(file);
		}
		catch (SettingsException ex) {
			return report(ex, console);
		}
		if (line.hasOption("check")) {
			console.out().println(file + ": valid");
			return ExitCode.OK;
		}
		return action.apply(settings);
	}

}
