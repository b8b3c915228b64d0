package dev.nutmegdoor.core.watch;

import java.util.Collection;
import java.util.Comparator;

import dev.nutmegdoor.core.store.ListWatcher;

/**
 * Asks the store for proofs of its state when the last ones become too old.
 */
final class ListVerification {

	private final Collection<SharedList> lists;

	private final long minIntervalMs;

	/**
	 * Creates a verification that makes no calls before {@link #verify}.
	 * @param lists the shared lists, which may change
	 * @param minIntervalMs minimum time between two questions for a list in milliseconds
	 */
	ListVerification(Collection<SharedList> lists, long minIntervalMs) {
		this.lists = lists;
		this.minIntervalMs = minIntervalMs;
	}

	/**
	 * Asks the store unless all proofs are recent. One call proves the state of all lists
	 * unless the store has changed; each list that has is asked for after the other.
	 * @param ageMs age of a proof in milliseconds from which the store is asked
	 * @param whenVerified runs after each new proof
	 */
	void verify(long ageMs, Runnable whenVerified) {
		this.lists.stream()
			.filter((list) -> list.isVerificationDue(ageMs, this.minIntervalMs))
			.max(Comparator.comparingLong(SharedList::verifiedAgeMs))
			.ifPresent((list) -> list.verify().thenAccept((isVerified) -> {
				if (isVerified) {
					recordForOthers(list.watcher());
					verify(ageMs, whenVerified);
					whenVerified.run();
				}
			}));
	}

	private void recordForOthers(ListWatcher verified) {
		for (SharedList list : this.lists) {
			list.watcher().recordStoreRevision(verified.revision(), verified.verifiedMs());
		}
	}

	/**
	 * Returns the time until the first proof becomes too old.
	 * @param ageMs age in milliseconds from which a proof is too old
	 * @param maxMs maximum of the result in milliseconds, which is also that while a
	 * proof is too old
	 * @return time in milliseconds
	 */
	long delayMs(long ageMs, long maxMs) {
		return this.lists.stream()
			.mapToLong((list) -> ageMs - list.verifiedAgeMs())
			.filter((delayMs) -> delayMs > 0)
			.reduce(maxMs, Math::min);
	}

}
