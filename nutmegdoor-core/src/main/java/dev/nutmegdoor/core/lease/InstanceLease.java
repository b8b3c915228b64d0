package dev.nutmegdoor.core.lease;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * The lease of this instance, and the means to end the lease of another one.
 */
public interface InstanceLease {

	/**
	 * Returns whether this instance may act on what it owns. Ask directly before each
	 * effect, because a pause can end the lease between two callbacks.
	 * @return {@code true} while the lease is valid
	 */
	boolean isValid();

	/**
	 * Returns the epoch of the lease.
	 * @return a number that rises with each fencing; 0 before the lease was first
	 * acquired
	 */
	long epoch();

	/**
	 * Registers a listener that is called on the control thread when the lease becomes
	 * valid, expires or is fenced.
	 * @param listener receives the new state
	 */
	void subscribe(LeaseListener listener);

	/**
	 * Ends the lease of another instance, if it is proven that it has expired.
	 * @param holder instance whose lease is to end
	 * @return {@code true} once the holder can never act again under its lease,
	 * {@code false} if that can't be proven now
	 */
	CompletableFuture<Boolean> fence(InstanceId holder);

}
