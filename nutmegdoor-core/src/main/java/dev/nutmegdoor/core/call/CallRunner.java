package dev.nutmegdoor.core.call;

/**
 * Runs calls: a layer of the path from the entry to the upstream.
 */
@FunctionalInterface
public interface CallRunner {

	/**
	 * Runs a call.
	 * @param request the call
	 * @param listener receives progress and outcome
	 * @return handle that cancels the call, for example when its caller is gone
	 */
	CallHandle run(CallRequest request, CallListener listener);

}
