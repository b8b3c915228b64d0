package dev.nutmegdoor.core.placement;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.core.upstream.EngineClient;

/**
 * Sends orders to engines while holding a lease in the store. The version of the lease
 * object is sent as the fencing token.
 */
public final class EngineOrderController {

	private final EngineOrderSettings settings;

	private final EngineOrderLease lease;

	private final EngineClient engines;

	private final TimerService timer;

	private final StepListener stepListener;

	private int sentOrders;

	private int withheldOrders;

	/**
	 * Creates a controller without any leases.
	 * @param settings lease and order timeouts
	 * @param store store of the leases
	 * @param engines client that sends the orders
	 * @param timer clock for the validity of the leases
	 * @param self this instance, recorded as the holder of its leases
	 * @param stepListener notified with {@code ENGINE_ORDER} before an order is sent
	 */
	public EngineOrderController(EngineOrderSettings settings, ObjectStore store, EngineClient engines,
			TimerService timer, InstanceId self, StepListener stepListener) {
		this.settings = settings;
		this.lease = new EngineOrderLease(store, timer, self, settings);
		this.engines = engines;
		this.timer = timer;
		this.stepListener = stepListener;
	}

	/**
	 * Sends an engine the order to load a model, after acquiring the lease of that
	 * engine.
	 * @param upstream the engine
	 * @param model name of the model
	 * @return completes when the model is loaded; fails with {@link EngineOrderException}
	 * if the lease is not available or its remaining time is too short, in which case the
	 * order was not sent
	 */
	public CompletableFuture<Void> load(Upstream upstream, String model) {
		return this.lease.acquire(upstream.id()).thenCompose((grant) -> send(upstream, model, grant));
	}

	/**
	 * Describes the state for {@code dump}.
	 * @return one line with the numbers of sent and withheld orders
	 */
	public String dump() {
		return "ordersSent=" + this.sentOrders + " ordersWithheld=" + this.withheldOrders;
	}

	private CompletableFuture<Void> send(Upstream upstream, String model, EngineOrderLease.Grant grant) {
		this.stepListener.reached(Step.ENGINE_ORDER);
		// The time is read after the listener has run, because the process may have been
		// paused in between and the lease may have expired.
		long remainingMs = grant.untilMs() - this.timer.nowMs() - this.settings.clockMarginMs();
		// An engine that does not check fencing tokens also executes a delayed order
		// after another instance has acquired the lease. Its order must therefore time
		// out before the lease expires.
		long requiredMs = upstream.isFencingChecked() ? 0 : this.settings.orderTimeoutMs();
		if (remainingMs <= requiredMs) {
			this.withheldOrders++;
			return CompletableFuture
				.failedFuture(new EngineOrderException("order not sent: the lease of " + upstream.id() + " has "
						+ remainingMs + " ms left after the clock margin; it must have more than " + requiredMs));
		}
		this.sentOrders++;
		return this.engines.loadModel(upstream, model, grant.fencingNumber(), this.settings.orderTimeoutMs())
			.whenComplete((ignored, failure) -> {
				// A failed order may still take effect until its timeout, so the lease is
				// not released but left to expire.
				if (failure == null) {
					this.lease.release(grant);
				}
			});
	}

}
