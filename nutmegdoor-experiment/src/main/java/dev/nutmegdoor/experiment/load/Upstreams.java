package dev.nutmegdoor.experiment.load;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.node.settings.ListenSettings;
import dev.nutmegdoor.standin.engine.EngineSettings;
import dev.nutmegdoor.standin.http.EngineStandin;
import dev.nutmegdoor.standin.http.EngineStandinSettings;
import dev.nutmegdoor.standin.http.ServiceStandin;
import dev.nutmegdoor.standin.http.ServiceStandinSettings;
import dev.nutmegdoor.standin.http.UpstreamObserver;

/**
 * Stand-ins of all upstreams of a deployment.
 */
final class Upstreams implements AutoCloseable {

	private static final double SERVICE_LATENCY_MS = 10;

	private final ControlThread engineThread = new ControlThread("engines");

	private final List<EngineStandin> engines = new ArrayList<>();

	private final List<ServiceStandin> services = new ArrayList<>();

	Upstreams(DemoDeployment deployment, long seed, UpstreamObserver observer) {
		ListenSettings listen = new ListenSettings("127.0.0.1", 0);
		for (int i = 1; i <= DemoConfiguration.ENGINES; i++) {
			EngineStandinSettings settings = new EngineStandinSettings(new UpstreamId("engine-" + i), listen,
					EngineSettings.large(List.of(deployment.model())));
			this.engines.add(new EngineStandin(settings, seed, this.engineThread, observer));
		}
		Map<String, String> outcomes = new ConcurrentHashMap<>();
		for (int i = 1; i <= deployment.serviceReplicas(); i++) {
			ServiceStandinSettings settings = new ServiceStandinSettings(new UpstreamId("service-" + i), listen,
					DemoConfiguration.services(deployment), SERVICE_LATENCY_MS, 0, 0);
			this.services.add(new ServiceStandin(settings, seed, observer, outcomes));
		}
	}

	List<InetSocketAddress> engineAddresses() {
		return this.engines.stream().map(EngineStandin::address).toList();
	}

	List<InetSocketAddress> serviceAddresses() {
		return this.services.stream().map(ServiceStandin::address).toList();
	}

	/**
	 * Returns whether any engine holds a cached prefix of a program.
	 * @param program the program
	 * @return {@code true} if one does
	 */
	boolean isCached(ProgramId program) {
		return this.engines.stream().anyMatch((engine) -> engine.holds(program).join());
	}

	@Override
	public void close() {
		this.engines.forEach(EngineStandin::close);
		this.services.forEach(ServiceStandin::close);
		this.engineThread.close();
	}

}
