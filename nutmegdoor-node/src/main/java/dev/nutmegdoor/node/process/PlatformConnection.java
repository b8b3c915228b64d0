package dev.nutmegdoor.node.process;

import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import reactor.netty.resources.LoopResources;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.store.BudgetedObjectStore;
import dev.nutmegdoor.core.store.CallBudgetSettings;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.platform.HttpObjectStore;
import dev.nutmegdoor.platform.PlatformEndpoint;
import dev.nutmegdoor.platform.PlatformHttp;
import dev.nutmegdoor.platform.ProcessSettings;

/**
 * The one way of a process to the platform's store.
 */
public final class PlatformConnection {

	private static final int CONNECT_TIMEOUT_MS = 500;

	private static final int REQUEST_TIMEOUT_MS = 1_500;

	/**
	 * Calls to the store: a process has two watches and answers a change with one call
	 * each. The breaker probes at least every 800 ms, because a change must be in force 2
	 * s after its acknowledgement.
	 */
	private static final CallBudgetSettings CALL_BUDGET = new CallBudgetSettings(20, 60, 100, 3_000, 2, 50, 400, 3, 200,
			800, 300);

	private final ObjectStore store;

	/**
	 * Creates the connection.
	 * @param settings address of the store
	 * @param control control thread
	 * @param loops event loops
	 * @param random jitter
	 * @param events receives outages
	 * @param urgentKinds kinds of objects whose calls go first
	 */
	public PlatformConnection(ProcessSettings settings, ControlThread control, LoopResources loops,
			UniformRandomProvider random, EventLog events, Set<String> urgentKinds) {
		PlatformHttp http = new PlatformHttp(new PlatformEndpoint(settings.store().getHostString(),
				settings.store().getPort(), CONNECT_TIMEOUT_MS, REQUEST_TIMEOUT_MS), control, loops);
		this.store = new BudgetedObjectStore(new HttpObjectStore(http), control, random, CALL_BUDGET, urgentKinds,
				events);
	}

	public ObjectStore store() {
		return this.store;
	}

}
