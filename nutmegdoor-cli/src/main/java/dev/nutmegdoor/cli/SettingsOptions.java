package dev.nutmegdoor.cli;

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

	static ExitCode report(SettingsException exception, Console console) {
		exception.problems().forEach((problem) -> console.err().println(problem));
		return ExitCode.USAGE;
	}

}
