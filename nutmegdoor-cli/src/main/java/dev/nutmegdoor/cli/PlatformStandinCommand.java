package dev.nutmegdoor.cli;

import java.net.InetSocketAddress;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import dev.nutmegdoor.node.LoggingEventLog;
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
		return SettingsOptions.run(line, console, PlatformStandinSettings::read, PlatformStandinCommand::serve);
	}

	private static ExitCode serve(PlatformStandinSettings settings) {
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
