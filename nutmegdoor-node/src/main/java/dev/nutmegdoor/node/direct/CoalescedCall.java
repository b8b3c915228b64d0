package dev.nutmegdoor.node.direct;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallPayload;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.Refusal;

/**
 * A call that several requests wait for: the first one and its repetitions. Late
 * listeners get everything from the start.
 */
final class CoalescedCall implements CallListener {

	private final CallPayload payload;

	private final CallListener ownerListener;

	private final List<CallListener> listeners = new ArrayList<>();

	private final StringBuilder generatedText = new StringBuilder();

	private @Nullable CallResult result;

	private @Nullable Refusal refusal;

	/**
	 * Creates the call.
	 * @param payload what the call asks
	 * @param ownerListener learns the outcome before the listeners do
	 */
	CoalescedCall(CallPayload payload, CallListener ownerListener) {
		this.payload = payload;
		this.ownerListener = ownerListener;
	}

	boolean hasPayload(CallPayload other) {
		return this.payload.equals(other);
	}

	/**
	 * Adds a listener and replays to it what happened so far.
	 * @param listener the listener
	 * @param handle handle of the running call
	 * @return handle that ends the call if no other listener is left
	 */
	CallHandle attach(CallListener listener, CallHandle handle) {
		if (!this.generatedText.isEmpty()) {
			listener.generated(0, this.generatedText.toString());
		}
		if (this.result != null) {
			listener.completed(this.result);
			return () -> {
			};
		}
		if (this.refusal != null) {
			listener.refused(this.refusal);
			return () -> {
			};
		}
		this.listeners.add(listener);
		return () -> {
			if (this.listeners.size() == 1 && this.listeners.contains(listener)) {
				handle.cancel();
			}
			this.listeners.remove(listener);
		};
	}

	@Override
	public void generated(int offset, String chunk) {
		this.generatedText.append(chunk);
		List.copyOf(this.listeners).forEach((listener) -> listener.generated(offset, chunk));
	}

	@Override
	public void completed(CallResult value) {
		this.result = value;
		this.ownerListener.completed(value);
		List.copyOf(this.listeners).forEach((listener) -> listener.completed(value));
		this.listeners.clear();
	}

	@Override
	public void refused(Refusal value) {
		this.refusal = value;
		this.ownerListener.refused(value);
		List.copyOf(this.listeners).forEach((listener) -> listener.refused(value));
		this.listeners.clear();
	}

}
