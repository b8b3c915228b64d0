package dev.nutmegdoor.experiment.load;

import java.net.InetSocketAddress;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * A running entry instance of a fleet.
 */
public interface FleetInstance {

	/**
	 * Returns the identifier.
	 * @return the identifier
	 */
	InstanceId id();

	/**
	 * Returns the address for callers.
	 * @return the address
	 */
	InetSocketAddress address();

	/**
	 * Stops the instance gracefully; blocks until it has stopped.
	 * @return whether no request was interrupted
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean drain() throws InterruptedException;

	/**
	 * Ends the instance as if its process had died: connections break, nothing is handed
	 * over.
	 */
	void kill();

}
