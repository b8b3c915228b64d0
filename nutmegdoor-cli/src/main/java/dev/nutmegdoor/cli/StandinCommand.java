package dev.nutmegdoor.cli;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.node.LoggingEventLog;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.standin.http.EngineStandin;
import dev.nutmegdoor.standin.http.EngineStandinSettings;
import dev.nutmegdoor.standin.http.ServiceStandin;
import dev.nutmegdoor.standin.http.ServiceStandinSettings;
import dev.nutmegdoor.standin.http.StandinSettings;
import dev.nutmegdoor.standin.http.UpstreamObserver;

/**
 * Runs stand-ins of upstreams in one process, each on its own port.
 */
final class StandinCommand implements Command {

	private final String kind;

	/**
	 * Creates the command.
	 * @param kind {@code engine} or {@code service}
	 */
	StandinCommand(String kind) {
		this.kind = kind;
	}

	@Override
	public String name() {
		return "standin " + this.kind;
	}

	@Override
	public String summary() {
		return "runs stand-ins of kind " + this.kind;
	}

	@Override
	public Options options() {
		return new Options().addOption(SettingsOptions.config()).addOption(SettingsOptions.check());
	}

	@Override
	public ExitCode run(CommandLine line, Console console) {
		return SettingsOptions.run(line, console,
				this.kind.equals("engine") ? StandinSettings::readEngines : StandinSettings::readServices,
				StandinCommand::serve);
	}

	private static ExitCode serve(StandinSettings settings) {
		List<AutoCloseable> running = start(settings);
		return Daemon.await(() -> {
			for (AutoCloseable standin : running) {
				standin.close();
			}
			return true;
		});
	}

	private static List<AutoCloseable> start(StandinSettings settings) {
		List<AutoCloseable> running = new ArrayList<>();
		ControlThread timers = new ControlThread("engines");
		for (EngineStandinSettings engine : settings.engines()) {
			EngineStandin standin = new EngineStandin(engine, settings.seed(), timers, UpstreamObserver.NONE);
			running.add(standin);
			report(engine.id(), standin.address());
		}
		Map<String, String> outcomes = new ConcurrentHashMap<>();
		for (ServiceStandinSettings service : settings.services()) {
			ServiceStandin standin = new ServiceStandin(service, settings.seed(), UpstreamObserver.NONE, outcomes);
			running.add(standin);
			report(service.id(), standin.address());
		}
		return running;
	}

	private static void report(UpstreamId id, InetSocketAddress address) {
		new LoggingEventLog().record("standin.started", "upstream", id, "address",
				address.getAddress().getHostAddress() + ":" + address.getPort());
	}

}
