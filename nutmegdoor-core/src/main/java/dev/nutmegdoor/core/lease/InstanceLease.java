package dev.nutmegdoor.core.lease;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Provides the state of this instance's lease and fences the leases of other instances.
 */
public interface InstanceLease {

	/**
	 * Returns whether this instance may act on what it owns. Callers check this
	 * immediately before each side effect, because the lease can expire during a pause of
	 * the process between two callbacks.
	 * @return {@code true} while the lease is valid
	 */
	boolean isValid();

	/**
	 * Returns the epoch of the lease.
	 * @return a number that increases each time the lease is fenced; 0 until the lease is
	 * first acquired
	 */
	long epoch();

	/**
	 * Registers a listener that is called when the lease becomes valid, expires or is
	 * fenced.
	 * @param listener receives the new state on the control thread
	 */
	void subscribe(LeaseListener listener);

	/**
	 * Fences the lease of another instance if the lease has provably expired. Concurrent
	 * calls for the same holder share one attempt.
	 * @param holder instance whose lease is to be fenced
	 * @return completes with {@code true} once the holder can never act under its lease
	 * again, or with {@code false} if that cannot be proven yet
	 */
	CompletableFuture<Boolean> fence(InstanceId holder);

}
