package dev.nutmegdoor.experiment.soak;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreException;
import dev.nutmegdoor.core.store.StoreFailure;
import dev.nutmegdoor.core.store.StorePage;
import dev.nutmegdoor.core.store.StoreWatchResult;
import dev.nutmegdoor.core.store.StoredObject;

/**
 * Store client of a simulated instance; see {@link OutboundEffects}.
 */
final class SimStore implements ObjectStore {

	private final FakeHost host;

	private final ObjectStore target;

	private final RenewalBlocker leaseBlock;

	SimStore(FakeHost host, ObjectStore target, RenewalBlocker leaseBlock) {
		this.host = host;
		this.target = target;
		this.leaseBlock = leaseBlock;
	}

	@Override
	public CompletableFuture<StoredObject> get(String kind, String name) {
		return OutboundEffects.call(this.host, () -> this.target.get(kind, name));
	}

	@Override
	public CompletableFuture<StorePage> list(String kind, String prefix) {
		return OutboundEffects.call(this.host, () -> this.target.list(kind, prefix));
	}

	@Override
	public CompletableFuture<StoredObject> create(String kind, String name, String value) {
		return OutboundEffects.call(this.host, () -> this.target.create(kind, name, value));
	}

	@Override
	public CompletableFuture<StoredObject> update(String kind, String name, long expectedVersion, String value) {
		if (kind.equals("lease") && name.equals(this.host.id().value()) && this.leaseBlock.isActive()) {
			return CompletableFuture.failedFuture(new StoreException(StoreFailure.UNAVAILABLE, "renewals are blocked"));
		}
		return OutboundEffects.call(this.host, () -> this.target.update(kind, name, expectedVersion, value));
	}

	@Override
	public CompletableFuture<Void> delete(String kind, String name, long expectedVersion) {
		return OutboundEffects.call(this.host, () -> this.target.delete(kind, name, expectedVersion));
	}

	@Override
	public CompletableFuture<Void> reportStatus(String kind, String name, String status) {
		return OutboundEffects.call(this.host, () -> this.target.reportStatus(kind, name, status));
	}

	@Override
	public CompletableFuture<StoreWatchResult> watch(String kind, long afterVersion, long timeoutMs) {
		return OutboundEffects.call(this.host, () -> this.target.watch(kind, afterVersion, timeoutMs));
	}

}
