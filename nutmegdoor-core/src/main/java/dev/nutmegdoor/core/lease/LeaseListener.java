package dev.nutmegdoor.core.lease;

/**
 * Receives state changes of this instance's lease on the control thread.
 */
@FunctionalInterface
public interface LeaseListener {

	/**
	 * Called after each state change.
	 * @param state state after the change
	 */
	void changed(LeaseState state);

}
