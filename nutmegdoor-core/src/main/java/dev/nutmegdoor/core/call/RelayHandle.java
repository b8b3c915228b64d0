package dev.nutmegdoor.core.call;

/**
 * Handle that cancels one send of a relayed request.
 */
@FunctionalInterface
public interface RelayHandle {

	/**
	 * Cancels the send and closes its connection. Has no effect once the complete
	 * response has been forwarded.
	 * @param reason why the send ends
	 */
	void cancel(RelayCancellation reason);

}
