package dev.nutmegdoor.core.store;

/**
 * Receives interruptions of a {@link FollowedList}. Methods are called on the control
 * thread.
 */
public interface InterruptionListener {

	/**
	 * Called when changes of the store no longer arrive.
	 */
	void interrupted();

	/**
	 * Called after the objects have been listed. Objects that existed only between the
	 * last change and the listing have not been seen.
	 */
	void listed();

}
