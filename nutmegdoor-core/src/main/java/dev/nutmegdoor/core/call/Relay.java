package dev.nutmegdoor.core.call;

import dev.nutmegdoor.core.configuration.Upstream;

/**
 * Forwards one request to replicas and the response to its caller.
 */
@FunctionalInterface
public interface Relay {

	/**
	 * Sends the request. At most one send is in progress at a time.
	 * @param upstream replica that receives the request
	 * @param timeLeftMs time that the replica has for the request in milliseconds
	 * @param listener receives the progress and the end, on the control thread
	 * @return handle that cancels the send
	 */
	RelayHandle send(Upstream upstream, long timeLeftMs, RelayListener listener);

}
