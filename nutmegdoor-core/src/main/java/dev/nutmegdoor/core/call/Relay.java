package dev.nutmegdoor.core.call;

import dev.nutmegdoor.core.configuration.Upstream;

/**
 * Passes one request on to replicas and the answer back to its caller.
 */
@FunctionalInterface
public interface Relay {

	/**
	 * Sends the request. At most one send is under way at a time.
	 * @param upstream receiver
	 * @param timeLeftMs time that the replica is given in milliseconds
	 * @param listener learns of progress and end, on the control thread
	 * @return handle that ends the send and closes its connection
	 */
	CallHandle send(Upstream upstream, long timeLeftMs, RelayListener listener);

}
