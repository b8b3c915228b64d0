package dev.nutmegdoor.cli;

import java.nio.file.Path;
import java.util.function.Function;
import java.util.function.Predicate;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.jboss.logging.Logger;

import dev.nutmegdoor.platform.ProcessSettings;
import dev.nutmegdoor.platform.ProcessSettingsException;

/**
 * Reads the settings that the platform gives a process.
 */
final class PlatformSettings {

	private static final Logger logger = Logger.getLogger(PlatformSettings.class);

	private static final int MAX_PORT = 65_535;

	private PlatformSettings() {
	}

	static Option metricsPort() {
		return Option.builder()
			.longOpt("metrics-port")
			.hasArg()
			.argName("PORT")
			.desc("port on which GET /metrics and GET /dump are answered")
			.build();
	}

	/**
	 * Reads the port of {@code --metrics-port}.
	 * @param line parsed options
	 * @return the port, 0 if none is given
	 */
	static int metricsPort(CommandLine line) {
		String text = line.getOptionValue("metrics-port", "0");
		try {
			int port = Integer.parseInt(text);
			if (port >= 0 && port <= MAX_PORT) {
				return port;
			}
		}
		catch (NumberFormatException ex) {
			logger.debugf("event=settings.port_unreadable value=%s", text);
		}
		throw new UsageException("--metrics-port: value " + text + ", expected a port");
	}

	/**
	 * Reads and checks the settings; with {@code --check} that is all.
	 * @param line parsed options
	 * @param console where to print problems
	 * @param isSufficient whether the settings have what the process needs
	 * @param needed what it needs, for the report
	 * @param action runs with valid settings
	 * @return the exit code
	 */
	static ExitCode run(CommandLine line, Console console, Predicate<ProcessSettings> isSufficient, String needed,
			Function<ProcessSettings, ExitCode> action) {
		Path path = path();
		ProcessSettings settings;
		try {
			settings = ProcessSettings.read(path);
		}
		catch (ProcessSettingsException ex) {
			console.err().println(ex.getMessage());
			return ExitCode.USAGE;
		}
		if (!isSufficient.test(settings)) {
			console.err().println(path + ": the process needs " + needed);
			return ExitCode.USAGE;
		}
		if (line.hasOption("check")) {
			console.out().println(path + ": valid");
			return ExitCode.OK;
		}
		HangupSignal.handle(() -> reload(path, settings));
		return action.apply(settings);
	}

	// Addresses and folders can't change while a process runs; what the file says of
	// other processes is only needed at the start.
	private static void reload(Path path, ProcessSettings inForce) {
		try {
			boolean isChanged = !ProcessSettings.read(path).equals(inForce);
			logger.infof("event=settings.reloaded path=%s changed=%s", path, isChanged);
		}
		catch (ProcessSettingsException ex) {
			logger.warnf("event=settings.unreadable path=%s error=\"%s\"", path, ex.getMessage());
		}
	}

	private static Path path() {
		String path = System.getenv(ProcessSettings.PATH_VARIABLE);
		return Path.of((path != null && !path.isBlank()) ? path : ProcessSettings.DEFAULT_PATH);
	}

}
