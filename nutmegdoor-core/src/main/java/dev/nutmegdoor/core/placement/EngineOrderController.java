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
 * Gives orders to engines under a lease in the store, with its version as the fencing
 * number.
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
	 * Creates the controller.
	 * @param settings timing of leases and orders
	 * @param store store of the leases
	 * @param engines client of the engines
	 * @param timer source of time
	 * @param self this instance
	 * @param stepListener called at step {@code ENGINE_ORDER}
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
	 * Orders an engine to load a model.
	 * @param upstream the engine
	 * @param model name of the model
	 * @return completes when the model is loaded; fails with {@link EngineOrderException}
	 * if the order was not sent
	 */
	public CompletableFuture<Void> load(Upstream upstream, String model) {
		return this.lease.acquire(upstream.id()).thenCompose((grant) -> send(upstream, model, grant));
	}

	/**
	 * Describes the state for {@code dump}.
	 * @return one line of figures
	 */
	public String dump() {
		return "ordersSent=" + this.sentOrders + " ordersWithheld=" + this.withheldOrders;
	}

	private CompletableFuture<Void> send(Upstream upstream, String model, EngineOrderLease.Grant grant) {
		this.stepListener.reached(Step.ENGINE_ORDER);
		// Read the time after the step: a pause before the effect may have used up the
		// lease.
		long remainingMs = grant.untilMs() - this.timer.nowMs() - this.settings.clockMarginMs();
		// An engine that ignores the number runs a late order even after the lease has
		// passed to another instance, so the order must be over before the lease.
		long requiredMs = upstream.isFencingChecked() ? 0 : this.settings.orderTimeoutMs();
		if (remainingMs <= requiredMs) {
			this.withheldOrders++;
			return CompletableFuture.failedFuture(new EngineOrderException("the lease of " + upstream.id() + " has "
					+ remainingMs + " ms left, the order needs more than " + requiredMs));
		}
		this.sentOrders++;
		return this.engines.loadModel(upstream, model, grant.fencingNumber(), this.settings.orderTimeoutMs())
			.whenComplete((ignored, failure) -> {
				// A failed order may still take effect until its timeout: the lease then
				// lapses by itself.
				if (failure == null) {
					this.lease.release(grant);
				}
			});
	}

}
