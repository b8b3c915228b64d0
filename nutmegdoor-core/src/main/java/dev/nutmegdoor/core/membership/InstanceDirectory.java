package dev.nutmegdoor.core.membership;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reads the platform's instance list. The list is updated with a delay: it may lack new
 * instances and still contain terminated ones.
 */
@FunctionalInterface
public interface InstanceDirectory {

	/**
	 * Reads the instance list.
	 * @return live and leaving instances; fails if the platform is unreachable
	 */
	CompletableFuture<List<DirectoryEntry>> list();

}
