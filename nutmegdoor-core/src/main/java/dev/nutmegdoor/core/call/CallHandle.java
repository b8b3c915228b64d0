package dev.nutmegdoor.core.call;

/**
 * Handle that cancels a running call.
 */
@FunctionalInterface
public interface CallHandle {

	/**
	 * Cancels the call; has no effect after its outcome. An at-most-once operation is not
	 * interrupted once it has been sent.
	 */
	void cancel();

}
