package dev.nutmegdoor.core.membership;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of live and leaving instances, and the own entry in it. Futures
 * fail with {@link dev.nutmegdoor.core.store.StoreException} and complete on the control
 * thread.
 */
public interface InstanceRegistry extends InstanceDirectory {

	/**
	 * Registers an instance, or replaces its entry.
	 * @param instance the entry
	 * @return completes when the platform has accepted the entry
	 */
	CompletableFuture<Void> register(DirectoryEntry instance);

	/**
	 * Removes an instance.
	 * @param instance the entry
	 * @return completes when the platform has accepted the removal
	 */
	CompletableFuture<Void> unregister(DirectoryEntry instance);

}
