package dev.nutmegdoor.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import dev.nutmegdoor.node.LoggingEventLog;
import dev.nutmegdoor.node.relay.GatewayNode;

/**
 * Runs an entry instance on the users' platform until it is told to stop.
 */
final class GatewayCommand implements Command {

	@Override
	public String name() {
		return "gateway";
	}

	@Override
	public String summary() {
		return "runs an entry instance on the platform; SIGTERM drains it";
	}

	@Override
	public Options options() {
		return new Options().addOption(SettingsOptions.check()).addOption(PlatformSettings.metricsPort());
	}

	@Override
	public ExitCode run(CommandLine line, Console console) {
		return PlatformSettings.run(line, console,
				(settings) -> settings.front() != null && settings.readiness() != null && settings.control() != null,
				"the addresses for clients, readiness checks and other processes", (settings) -> {
					GatewayNode node = new GatewayNode(settings, PlatformSettings.metricsPort(line),
							new LoggingEventLog());
					node.start();
					return Daemon.await(node::drain);
				});
	}

}
