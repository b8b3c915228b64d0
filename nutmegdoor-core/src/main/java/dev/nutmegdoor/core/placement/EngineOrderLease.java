package dev.nutmegdoor.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreException;
import dev.nutmegdoor.core.store.StoreFailure;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Manages leases in the store that permit one instance at a time to send orders to an
 * engine. The version of the store object serves as the fencing token: it increases with
 * each change of holder.
 */
final class EngineOrderLease {

	private static final String KIND = "order";

	private static final String RELEASED = "released";

	private final ObjectStore store;

	private final TimerService timer;

	private final InstanceId self;

	private final EngineOrderSettings settings;

	private final Map<String, Observation> observations = new HashMap<>();

	EngineOrderLease(ObjectStore store, TimerService timer, InstanceId self, EngineOrderSettings settings) {
		this.store = store;
		this.timer = timer;
		this.self = self;
		this.settings = settings;
	}

	CompletableFuture<Grant> acquire(UpstreamId upstream) {
		String name = upstream.value();
		return this.store.get(KIND, name)
			.handle((stored, failure) -> tryAcquire(name, stored, failure))
			.thenCompose((future) -> future);
	}

	CompletableFuture<Void> release(Grant grant) {
		return this.store.update(KIND, grant.name, grant.fencingNumber, RELEASED).thenAccept((ignored) -> {
		});
	}

	private CompletableFuture<Grant> tryAcquire(String name, @Nullable StoredObject stored,
			@Nullable Throwable failure) {
		// The lease term is counted from before the write, so that this holder considers
		// it expired no later than other instances do.
		long startedMs = this.timer.nowMs();
		if (stored == null) {
			if (!isNotFound(failure)) {
				return CompletableFuture.failedFuture(new EngineOrderException(
						"order not sent: the lease of " + name + " could not be read from the store"));
			}
			return this.store.create(KIND, name, this.self.value()).thenApply((created) -> grant(created, startedMs));
		}
		if (!canAcquire(name, stored, startedMs)) {
			return CompletableFuture.failedFuture(
					new EngineOrderException("order not sent: the lease of " + name + " is held by " + stored.value()));
		}
		return this.store.update(KIND, name, stored.version(), this.self.value())
			.thenApply((updated) -> grant(updated, startedMs));
	}

	private boolean canAcquire(String name, StoredObject stored, long nowMs) {
		if (stored.value().equals(RELEASED)) {
			return true;
		}
		Observation previous = this.observations.get(name);
		if (previous == null || previous.version != stored.version()) {
			this.observations.put(name, new Observation(stored.version(), nowMs));
			return false;
		}
		return nowMs - previous.sinceMs > this.settings.leaseTtlMs() + this.settings.clockMarginMs();
	}

	private Grant grant(StoredObject stored, long startedMs) {
		return new Grant(stored.name(), stored.version(), startedMs + this.settings.leaseTtlMs());
	}

	private static boolean isNotFound(@Nullable Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return cause instanceof StoreException ex && ex.failure() == StoreFailure.NOT_FOUND;
	}

	record Grant(String name, long fencingNumber, long untilMs) {

	}

	private record Observation(long version, long sinceMs) {

	}

}
