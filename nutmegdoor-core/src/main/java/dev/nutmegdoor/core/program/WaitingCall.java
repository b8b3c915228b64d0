package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;

/**
 * A call at its home for which {@link OrderRule} has not reached a final decision.
 */
final class WaitingCall {

	private final CallRequest request;

	private final CallListener listener;

	private final long arrivedAtMs;

	private CallHandle handle = () -> {
	};

	private boolean isCancelled;

	WaitingCall(CallRequest request, CallListener listener, long arrivedAtMs) {
		this.request = request;
		this.listener = listener;
		this.arrivedAtMs = arrivedAtMs;
	}

	CallRequest request() {
		return this.request;
	}

	CallListener listener() {
		return this.listener;
	}

	long arrivedAtMs() {
		return this.arrivedAtMs;
	}

	boolean isCancelled() {
		return this.isCancelled;
	}

	void setHandle(CallHandle handle) {
		this.handle = handle;
	}

	void cancel() {
		this.isCancelled = true;
		this.handle.cancel();
	}

}
