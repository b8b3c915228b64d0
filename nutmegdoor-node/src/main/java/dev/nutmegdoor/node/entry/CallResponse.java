package dev.nutmegdoor.node.entry;

import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBufUtil;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.node.settings.LimitSettings;

/**
 * Buffers the response of one call between the control thread, which produces it, and the
 * connection, which consumes it at the speed of the client. The buffer is bounded; a call
 * whose client reads too slowly is cancelled. All methods but {@link #events} run on the
 * control thread.
 */
final class CallResponse implements CallListener {

	private final CallRequest request;

	private final LimitSettings limits;

	private final InvariantRegistry invariants;

	private final Runnable onEnd;

	private final Sinks.Many<ResponseEvent> sink = Sinks.many().unicast().onBackpressureBuffer();

	private final AtomicLong bufferedBytes = new AtomicLong();

	private final StringBuilder generatedText = new StringBuilder();

	private long totalBytes;

	private @Nullable CallHandle handle;

	private @Nullable Refusal abortRefusal;

	private boolean isEnded;

	/**
	 * Creates the response of a call that has not started.
	 * @param request call that produces the response
	 * @param limits maximum sizes of the response and of its buffer
	 * @param invariants counts checks and violations
	 * @param onEnd called once when the outcome is known
	 */
	CallResponse(CallRequest request, LimitSettings limits, InvariantRegistry invariants, Runnable onEnd) {
		this.request = request;
		this.limits = limits;
		this.invariants = invariants;
		this.onEnd = onEnd;
	}

	CallRequest request() {
		return this.request;
	}

	boolean isEnded() {
		return this.isEnded;
	}

	void started(CallHandle callHandle) {
		this.handle = callHandle;
	}

	/**
	 * Returns the events of the call, which allow a single subscriber.
	 * @return events, the last of which is the only {@code Completed} or {@code Refused}
	 */
	Flux<ResponseEvent> events() {
		return this.sink.asFlux().doOnNext((event) -> {
			if (event instanceof ResponseEvent.TextChunk chunk) {
				this.bufferedBytes.addAndGet(-ByteBufUtil.utf8Bytes(chunk.text()));
			}
		});
	}

	@Override
	public void generated(int offset, String chunk) {
		if (this.isEnded) {
			return;
		}
		boolean isContiguous = this.invariants.check(Invariant.ANSWER_MATCH, offset == this.generatedText.length(),
				() -> "call " + this.request.decision() + " got text at offset " + offset + " after "
						+ this.generatedText.length() + " characters");
		if (!isContiguous) {
			abort(new Refusal(RefusalReason.INTERNAL, RunState.UNKNOWN, "part of the answer was lost", 0));
			return;
		}
		int bytes = ByteBufUtil.utf8Bytes(chunk);
		this.generatedText.append(chunk);
		this.totalBytes += bytes;
		if (this.totalBytes > this.limits.maxStreamBytes()) {
			abort(new Refusal(RefusalReason.INTERNAL, RunState.RAN,
					"the answer has more than " + this.limits.maxStreamBytes() + " bytes", 0));
			return;
		}
		if (this.bufferedBytes.addAndGet(bytes) > this.limits.maxBufferedAnswerBytes()) {
			abort(new Refusal(RefusalReason.CANCELLED, RunState.UNKNOWN, "the reader was too slow: more than "
					+ this.limits.maxBufferedAnswerBytes() + " bytes of the answer were waiting", 0));
			return;
		}
		emit(new ResponseEvent.TextChunk(offset, chunk));
	}

	@Override
	public void completed(CallResult result) {
		if (this.isEnded) {
			return;
		}
		if (this.request.payload() instanceof ModelCall) {
			boolean isConsistent = this.invariants.check(Invariant.ANSWER_MATCH,
					result.body().startsWith(this.generatedText.toString()),
					() -> "call " + this.request.decision() + " streamed " + this.generatedText.length()
							+ " characters that differ from its answer of " + result.body().length());
			if (!isConsistent) {
				end(new ResponseEvent.Refused(
						new Refusal(RefusalReason.INTERNAL, RunState.RAN, "the answer was inconsistent", 0)));
				return;
			}
			if (result.body().length() > this.generatedText.length()) {
				generated(this.generatedText.length(), result.body().substring(this.generatedText.length()));
			}
		}
		if (!this.isEnded) {
			end(new ResponseEvent.Completed(result));
		}
	}

	@Override
	public void refused(Refusal refusal) {
		if (this.isEnded) {
			return;
		}
		this.invariants.check(Invariant.NOT_RUN_TRUTH,
				refusal.run() != RunState.NOT_RUN || this.generatedText.isEmpty(),
				() -> "call " + this.request.decision() + " is reported as not run after it generated text");
		Refusal requestedAbort = this.abortRefusal;
		if (requestedAbort != null) {
			end(new ResponseEvent.Refused(new Refusal(requestedAbort.reason(), refusal.run(), requestedAbort.detail(),
					requestedAbort.retryAfterMs())));
			return;
		}
		end(new ResponseEvent.Refused(refusal));
	}

	/**
	 * Cancels the call and ends its response. If the runner reports a refusal during the
	 * cancellation, its run state replaces that of the given refusal.
	 * @param refusal last event for the client
	 */
	void abort(Refusal refusal) {
		if (this.isEnded) {
			return;
		}
		this.abortRefusal = refusal;
		CallHandle callHandle = this.handle;
		if (callHandle != null) {
			callHandle.cancel();
		}
		if (!this.isEnded) {
			end(new ResponseEvent.Refused(refusal));
		}
	}

	private void end(ResponseEvent last) {
		this.isEnded = true;
		emit(last);
		this.sink.tryEmitComplete();
		this.onEnd.run();
	}

	private void emit(ResponseEvent event) {
		// If the client has disconnected, its subscription is cancelled and the event is
		// dropped.
		this.sink.tryEmitNext(event);
	}

}
