package dev.nutmegdoor.core.call;

/**
 * Runs calls. Each layer between the entry instance and the upstream implements it.
 */
@FunctionalInterface
public interface CallRunner {

	/**
	 * Starts a call and returns without waiting for its outcome.
	 * @param request authenticated and admitted call
	 * @param listener receives the progress and exactly one outcome
	 * @return handle that cancels the call, for example when its caller has disconnected
	 */
	CallHandle run(CallRequest request, CallListener listener);

}
