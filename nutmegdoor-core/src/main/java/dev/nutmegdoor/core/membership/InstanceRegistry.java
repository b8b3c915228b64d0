package dev.nutmegdoor.core.membership;

import java.util.concurrent.CompletableFuture;

/**
 * Reads the platform's list of live and leaving instances and writes entries to it.
 * Futures complete on the control thread and fail with
 * {@link dev.nutmegdoor.core.store.StoreException}.
 */
public interface InstanceRegistry extends InstanceDirectory {

	/**
	 * Adds the entry of an instance, or replaces the entry with the same identifier.
	 * @param instance entry to be written
	 * @return completes once the platform has stored the entry
	 */
	CompletableFuture<Void> register(DirectoryEntry instance);

	/**
	 * Removes the entry of an instance. Succeeds also if there is no such entry.
	 * @param instance entry to be removed, found by its identifier
	 * @return completes once the platform has removed the entry
	 */
	CompletableFuture<Void> unregister(DirectoryEntry instance);

}
