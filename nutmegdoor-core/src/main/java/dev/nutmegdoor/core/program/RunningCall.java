package dev.nutmegdoor.core.program;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.id.ProgramId;

/**
 * A call in progress at its home, with all callers that wait for its response.
 */
final class RunningCall {

	private final ProgramId program;

	private final int turn;

	private final List<CallListener> listeners = new ArrayList<>();

	private final StringBuilder text = new StringBuilder();

	private CallHandle handle = () -> {
	};

	private boolean isDispatched;

	private boolean isEnded;

	private boolean isAbandoned;

	private @Nullable Runnable whenDetached;

	RunningCall(ProgramId program, int turn) {
		this.program = program;
		this.turn = turn;
	}

	ProgramId program() {
		return this.program;
	}

	int turn() {
		return this.turn;
	}

	boolean isDispatched() {
		return this.isDispatched;
	}

	boolean isEnded() {
		return this.isEnded;
	}

	boolean isAbandoned() {
		return this.isAbandoned;
	}

	boolean isDetached() {
		return this.listeners.isEmpty();
	}

	void setWhenDetached(Runnable whenDetached) {
		this.whenDetached = whenDetached;
	}

	void markDispatched() {
		this.isDispatched = true;
	}

	void setHandle(CallHandle handle) {
		this.handle = handle;
	}

	/**
	 * Adds a caller, which first receives the text generated so far.
	 * @param listener receives further text and the outcome
	 * @return a handle that removes the caller; the call itself goes on
	 */
	CallHandle attach(CallListener listener) {
		this.listeners.add(listener);
		if (!this.text.isEmpty()) {
			listener.generated(0, this.text.toString());
		}
		return () -> {
			if (this.listeners.remove(listener) && this.listeners.isEmpty() && this.whenDetached != null) {
				this.whenDetached.run();
			}
		};
	}

	void generated(int offset, String chunk) {
		if (this.isEnded || offset > this.text.length() || offset + chunk.length() <= this.text.length()) {
			return;
		}
		String newText = chunk.substring(this.text.length() - offset);
		int start = this.text.length();
		this.text.append(newText);
		new ArrayList<>(this.listeners).forEach((listener) -> listener.generated(start, newText));
	}

	/**
	 * Cancels the call at the next layer, or prevents the dispatch if it has not happened
	 * yet. The callers stay attached until the call ends.
	 */
	void abandon() {
		this.isAbandoned = true;
		this.handle.cancel();
	}

	void complete(CallResult result) {
		if (!this.isEnded) {
			this.isEnded = true;
			removeListeners().forEach((listener) -> listener.completed(result));
		}
	}

	void refuse(Refusal refusal) {
		if (!this.isEnded) {
			this.isEnded = true;
			removeListeners().forEach((listener) -> listener.refused(refusal));
		}
	}

	private List<CallListener> removeListeners() {
		List<CallListener> removed = new ArrayList<>(this.listeners);
		this.listeners.clear();
		return removed;
	}

}
