package dev.nutmegdoor.core.ledger;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Durable log of entries on the disk of a replica.
 */
public interface LedgerLog {

	/**
	 * Appends entries.
	 * @param entries the entries
	 * @return completes on the control thread once the entries are on the disk; fails
	 * with {@link LedgerLogException}
	 */
	CompletableFuture<Void> append(List<LedgerEntry> entries);

	/**
	 * Replaces the log by the given entries.
	 * @param entries all entries that are still needed
	 * @return completes on the control thread once they are on the disk
	 */
	CompletableFuture<Void> compact(List<LedgerEntry> entries);

	/**
	 * Returns the size of the log.
	 * @return bytes
	 */
	long sizeBytes();

}
