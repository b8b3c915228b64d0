package dev.nutmegdoor.core.conversation;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Durable log of turns on the disk of a member. Futures complete on the control thread.
 */
public interface TurnLog {

	/**
	 * Appends a turn.
	 * @param turn the turn
	 * @param keepMs time in milliseconds for which the turn must be found after a restart
	 * @return completes when the turn is on the disk; fails with {@link TurnLogException}
	 */
	CompletableFuture<Void> append(StoredTurn turn, long keepMs);

	/**
	 * Reads turns from the disk.
	 * @param keys turns that were appended and not removed
	 * @return the turns in the given order, without those that are damaged or have been
	 * removed; fails with {@link TurnLogException} if the disk can't be read
	 */
	CompletableFuture<List<StoredTurn>> read(List<TurnKey> keys);

	/**
	 * Removes turns that are no longer needed. Their space is freed some time later, and
	 * a restart may find some of them again.
	 * @param keys turns that were appended
	 */
	void remove(Collection<TurnKey> keys);

	/**
	 * Records durably whether the log contains every turn that this member has confirmed,
	 * which a restart then finds.
	 * @param isComplete {@code false} if turns have been lost and not been copied back
	 */
	void setComplete(boolean isComplete);

	/**
	 * Returns the space that the log occupies.
	 * @return size in bytes
	 */
	long sizeBytes();

}
