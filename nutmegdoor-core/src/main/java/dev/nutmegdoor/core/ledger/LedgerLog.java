package dev.nutmegdoor.core.ledger;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Durable log of ledger entries on the disk of a replica.
 */
public interface LedgerLog {

	/**
	 * Appends entries to the log.
	 * @param entries entries to append, in any order
	 * @return completes on the control thread when the entries are on the disk; fails
	 * with {@link LedgerLogException}
	 */
	CompletableFuture<Void> append(List<LedgerEntry> entries);

	/**
	 * Replaces the content of the log with the given entries.
	 * @param entries all entries that are still required
	 * @return completes on the control thread when the entries are on the disk
	 */
	CompletableFuture<Void> compact(List<LedgerEntry> entries);

	/**
	 * Returns the size of the log.
	 * @return size in bytes
	 */
	long sizeBytes();

}
