package dev.nutmegdoor.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of live and leaving instances. Futures fail with
 * {@link dev.nutmegdoor.core.store.StoreException} and complete on the control thread.
 */
public interface PlatformDirectory {

	/**
	 * Lists the instances; the list lags and is evidence for routing only.
	 * @return live and leaving instances
	 */
	CompletableFuture<List<PlatformInstance>> list();

	/**
	 * Registers an instance, or replaces its entry.
	 * @param instance the entry
	 * @return completes when the platform has accepted the entry
	 */
	CompletableFuture<Void> register(PlatformInstance instance);

	/**
	 * Removes an instance.
	 * @param instance the entry
	 * @return completes when the platform has accepted the removal
	 */
	CompletableFuture<Void> unregister(PlatformInstance instance);

}
