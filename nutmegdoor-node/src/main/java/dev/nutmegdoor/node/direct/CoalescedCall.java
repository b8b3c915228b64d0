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
 * A call that is shared by several requests: the first one and its repetitions. A
 * listener that attaches later receives all text from the beginning.
 */
final class CoalescedCall implements CallListener {

	private final CallPayload payload;

	private final CallListener ownerListener;

	private final List<CallListener> listeners = new ArrayList<>();

	private final StringBuilder generatedText = new StringBuilder();

	private @Nullable CallResult result;

	private @Nullable Refusal refusal;

	/**
	 * Creates a call without listeners.
	 * @param payload request of the call, with which repetitions are compared
	 * @param ownerListener receives the outcome before the attached listeners
	 */
	CoalescedCall(CallPayload payload, CallListener ownerListener) {
		this.payload = payload;
		this.ownerListener = ownerListener;
	}

	boolean hasPayload(CallPayload other) {
		return this.payload.equals(other);
	}

	/**
	 * Adds a listener after replaying the generated text and the outcome, if any, to it.
	 * @param listener receives the events of the call
	 * @param handle cancels the running call
	 * @return handle that detaches the listener, and cancels the call if it was the last
	 * one
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
