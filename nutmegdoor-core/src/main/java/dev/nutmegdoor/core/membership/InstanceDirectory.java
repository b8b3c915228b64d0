package dev.nutmegdoor.core.membership;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Port of the platform's list of instances. The list lags: it may lack new instances and
 * still show ended ones.
 */
@FunctionalInterface
public interface InstanceDirectory {

	/**
	 * Reads the list.
	 * @return the live and leaving instances; fails if the platform can't be reached
	 */
	CompletableFuture<List<DirectoryEntry>> list();

}
