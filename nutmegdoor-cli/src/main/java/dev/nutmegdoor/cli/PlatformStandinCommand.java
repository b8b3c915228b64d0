package dev.nutmegdoor.cli;

import java.net.InetSocketAddress;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import dev.nutmegdoor.node.LoggingEventLog;
import dev.nutmegdoor.node.settings.SettingsException;
import dev.nutmegdoor.standin.platform.PlatformStandin;
import dev.nutmegdoor.standin.platform.PlatformStandinSettings;

/**
 * Runs the stand-in of the platform.
 */
final class PlatformStandinCommand implements Command {

	@Override
	public String name() {
		return "standin platform";
	}

	@Override
	public String summary() {
		return "runs a stand-in of the platform's API";
	}

	@Override
	public Options options() {
		return new Options().addOption(SettingsOptions.config()).addOption(SettingsOptions.check());
	}

	@Override
	public ExitCode run(CommandLine line, Console console) {
		Path file = Path.of(line.getOptionValue("config"));
		PlatformStandinSettings settings;
		try {
			settings = PlatformStandinSettings.read(file);
		}
		catch (SettingsException ex) {
			return SettingsOptions.report(ex, console);
		}
		if (line.hasOption("check")) {
			console.out().println(file + ": valid");
			return ExitCode.OK;
		}
		PlatformStandin platform = PlatformStandin.start(settings);
		InetSocketAddress address = platform.address();
		new LoggingEventLog().record("standin.started", "kind", "platform", "address",
				address.getAddress().getHostAddress() + ":" + address.getPort());
		return Daemon.await(() -> {
			platform.close();
			return true;
		});
	}

}
