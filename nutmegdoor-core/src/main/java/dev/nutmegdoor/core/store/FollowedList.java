package dev.nutmegdoor.core.store;

import java.util.concurrent.CompletableFuture;

/**
 * List of objects that follows the platform's store. Must be used on the control thread.
 */
public interface FollowedList {

	/**
	 * Returns whether the last calls show that changes of the store arrive here.
	 * @return {@code false} before the first listing, after a failed call and while the
	 * objects are listed again
	 */
	boolean isFollowed();

	/**
	 * Returns the revision of the store up to which changes have been applied.
	 * @return the revision, 0 before the first listing
	 */
	long revision();

	/**
	 * Confirms that the list contains all changes that the store has acknowledged before
	 * this call. Changes that are missing are applied first.
	 * @return {@code true} if the store has confirmed it, {@code false} if that can't be
	 * found out soon; completes on the control thread and never fails
	 */
	CompletableFuture<Boolean> confirm();

	/**
	 * Registers a listener for interruptions.
	 * @param listener listener to register
	 */
	void subscribe(InterruptionListener listener);

}
