package dev.nutmegdoor.core.call;

/**
 * Handle of a running call.
 */
@FunctionalInterface
public interface CallHandle {

	/**
	 * Asks for the end of the call; has no effect after its outcome. An operation that
	 * may not be repeated is not interrupted once it was sent.
	 */
	void cancel();

}
