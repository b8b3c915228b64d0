package dev.nutmegdoor.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.node.EntryNode;
import dev.nutmegdoor.node.LoggingEventLog;
import dev.nutmegdoor.node.StandaloneEntry;
import dev.nutmegdoor.node.cluster.ClusterEntry;
import dev.nutmegdoor.node.settings.ClusterSettings;
import dev.nutmegdoor.node.settings.EntrySettings;

/**
 * Runs an entry instance until it is asked to end by SIGTERM or SIGINT.
 */
final class EntryCommand implements Command {

	@Override
	public String name() {
		return "entry";
	}

	@Override
	public String summary() {
		return "runs an entry instance; SIGTERM drains it";
	}

	@Override
	public Options options() {
		return new Options().addOption(SettingsOptions.config()).addOption(SettingsOptions.check());
	}

	@Override
	public ExitCode run(CommandLine line, Console console) {
		return SettingsOptions.run(line, console, EntrySettings::read, (settings) -> serve(settings, console));
	}

	private static ExitCode serve(EntrySettings settings, Console console) {
		return (settings.cluster() != null) ? runCluster(settings, settings.cluster(), console)
				: runStandalone(settings);
	}

	private static ExitCode runStandalone(EntrySettings settings) {
		EntryNode node = StandaloneEntry
			.create(settings, settings.instanceCount(), new InvariantRegistry(), new LoggingEventLog())
			.node();
		node.start();
		return Daemon.await(node::drain);
	}

	private static ExitCode runCluster(EntrySettings settings, ClusterSettings cluster, Console console) {
		ClusterEntry entry = new ClusterEntry(settings, cluster, new InvariantRegistry(), new LoggingEventLog(),
				EntryCommand::exitFenced);
		try {
			entry.start();
		}
		catch (IllegalStateException ex) {
			console.err().println("nutmegdoor: " + ex.getMessage() + ": " + ex.getCause());
			return ExitCode.UNREACHABLE;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.FAILURE;
		}
		return Daemon.await(entry::drain);
	}

	private static void exitFenced() {
		// The exit runs the drain; the supervisor of the process starts it anew.
		new Thread(() -> System.exit(ExitCode.FAILURE.value()), "fenced").start();
	}

}
