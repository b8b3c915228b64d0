package dev.nutmegdoor.core.lease;

/**
 * Receives changes of the state of the own lease.
 */
@FunctionalInterface
public interface LeaseListener {

	/**
	 * Called after each change.
	 * @param state the new state
	 */
	void changed(LeaseState state);

}
