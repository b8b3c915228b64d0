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
 * Connects a process to the platform's object store. All calls of the process share one
 * budget.
 */
public final class PlatformConnection {

	private static final int CONNECT_TIMEOUT_MS = 500;

	/** Timeout in milliseconds of a call, in addition to the wait of a watch. */
	public static final int REQUEST_TIMEOUT_MS = 1_500;

	/**
	 * Budget of calls to the store. A process has two watches and makes one call for each
	 * change. The circuit breaker probes at least every 800 ms, because a change must be
	 * applied within 2 s after its acknowledgement.
	 */
	private static final CallBudgetSettings CALL_BUDGET = new CallBudgetSettings(20, 60, 100, 3_000, 2, 50, 400, 3, 200,
			800, 300);

	private final ObjectStore store;

	/**
	 * Creates a connection to the store.
	 * @param settings settings with the address of the store
	 * @param control control thread of the process
	 * @param loops event loops of the connections
	 * @param random generator for the jitter of retries
	 * @param events receives the start and end of outages
	 * @param urgentKinds kinds of objects whose calls take precedence
	 */
	public PlatformConnection(ProcessSettings settings, ControlThread control, LoopResources loops,
			UniformRandomProvider random, EventLog events, Set<String> urgentKinds) {
		PlatformHttp http = new PlatformHttp(new PlatformEndpoint(settings.store().getHostString(),
				settings.store().getPort(), CONNECT_TIMEOUT_MS, REQUEST_TIMEOUT_MS), control, loops);
		this.store = new BudgetedObjectStore(new HttpObjectStore(http, events), control, random, CALL_BUDGET,
				urgentKinds, events);
	}

	public ObjectStore store() {
		return this.store;
	}

}
