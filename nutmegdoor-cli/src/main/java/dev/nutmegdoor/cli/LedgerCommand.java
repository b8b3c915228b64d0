package dev.nutmegdoor.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import dev.nutmegdoor.node.LoggingEventLog;
import dev.nutmegdoor.node.ledger.LedgerNode;

/**
 * Runs a replica of the token ledger.
 */
final class LedgerCommand implements Command {

	@Override
	public String name() {
		return "ledger";
	}

	@Override
	public String summary() {
		return "runs a replica of the token ledger on a machine with a disk";
	}

	@Override
	public Options options() {
		return new Options().addOption(SettingsOptions.check()).addOption(PlatformSettings.metricsPort());
	}

	@Override
	public ExitCode run(CommandLine line, Console console) {
		return PlatformSettings.run(line, console, (settings) -> settings.dataFolder() != null, "a folder for data",
				(settings) -> {
					LedgerNode node = new LedgerNode(settings, PlatformSettings.metricsPort(line),
							new LoggingEventLog());
					node.start();
					return Daemon.await(node::stop);
				});
	}

}
