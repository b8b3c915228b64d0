package dev.nutmegdoor.core.program;

import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.AtMostOnceState;
import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.explain.DecisionKind;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.invariant.Invariant;

/**
 * Runs at-most-once operations: the intent is durable on the replicas before the
 * operation is sent, and an operation whose outcome is unknown is never resent.
 */
final class AtMostOnceCallRunner {

	/**
	 * A key with a timestamp starts with 13 digits, the milliseconds since 1970, and a
	 * hyphen.
	 */
	private static final java.util.regex.Pattern DATED_KEY = java.util.regex.Pattern.compile("(\\d{13})-.*");

	/** Maximum difference between the clocks of callers and instances. */
	private static final long MAX_CLOCK_SKEW_MS = 60_000;

	/** Delay of the intent when the safeguard is disabled. */
	private static final long DELAYED_INTENT_MS = 200;

	private static final CallHandle NO_HANDLE = () -> {
	};

	private final ProgramDependencies dependencies;

	private final HomeCalls calls;

	private final CallRunner nextLayer;

	private final AtMostOnceOutcomeQuery outcomeQuery;

	private final boolean isIntentFirst;

	AtMostOnceCallRunner(ProgramDependencies dependencies, HomeCalls calls, CallRunner nextLayer,
			AtMostOnceOutcomeQuery outcomeQuery, boolean isIntentFirst) {
		this.dependencies = dependencies;
		this.calls = calls;
		this.nextLayer = nextLayer;
		this.outcomeQuery = outcomeQuery;
		this.isIntentFirst = isIntentFirst;
	}

	/**
	 * Returns the timestamp at the start of a key.
	 * @param key idempotency key
	 * @return milliseconds since 1970, or -1 if the key has no timestamp
	 */
	static long keyTimestampMs(String key) {
		java.util.regex.Matcher matcher = DATED_KEY.matcher(key);
		return matcher.matches() ? Long.parseLong(matcher.group(1)) : -1;
	}

	static String keyOf(CallRequest request, ServiceCall call) {
		String key = call.idempotencyKey();
		return (key != null) ? key : "turn-" + request.turn();
	}

	CallHandle run(PartitionHome home, ProgramId program, CallRequest request, CallListener listener,
			Runnable whenEnded) {
		ServiceCall call = (ServiceCall) request.payload();
		String key = keyOf(request, call);
		ProgramState state = home.program(program);
		AtMostOnceCall recordedCall = (state != null) ? state.atMostOnceCalls().get(key) : null;
		RunningCall running = this.calls.find(program, key);
		AtMostOnceInputs inputs = atMostOnceInputs(request, key, recordedCall, running != null);
		AtMostOnceDecision decision = AtMostOnceRule.decide(inputs);
		boolean isRefusal = decision.name().startsWith("REFUSE");
		this.calls.record(request, DecisionKind.AT_MOST_ONCE, isRefusal, inputs, decision,
				isRefusal ? "a new idempotency key would be sent" : "");
		if (decision == AtMostOnceDecision.ATTACH && running != null) {
			return running.attach(listener);
		}
		if (decision == AtMostOnceDecision.STORED && recordedCall != null && recordedCall.result() != null) {
			this.dependencies.invariants()
				.check(Invariant.ANSWER_MATCH, recordedCall.intended().requestHash() == Hashes.ofPayload(call),
						() -> "answer of key " + key + " belongs to another request");
			listener.completed(recordedCall.result());
			return NO_HANDLE;
		}
		if (decision != AtMostOnceDecision.SEND) {
			listener.refused(refusal(decision));
			return NO_HANDLE;
		}
		return send(home, program, request, key, listener, whenEnded);
	}

	private AtMostOnceInputs atMostOnceInputs(CallRequest request, String key, @Nullable AtMostOnceCall recordedCall,
			boolean isRunning) {
		long nowMs = this.dependencies.timer().wallClockMs();
		long keyTimestampMs = keyTimestampMs(key);
		long ageMs = (recordedCall != null) ? Math.max(0, nowMs - recordedCall.intended().wallClockMs()) : 0;
		if (keyTimestampMs >= 0) {
			ageMs = nowMs - keyTimestampMs;
		}
		boolean isSameRequest = recordedCall != null
				&& recordedCall.intended().requestHash() == Hashes.ofPayload(request.payload())
				&& recordedCall.intended().workspace().equals(request.workspace());
		return new AtMostOnceInputs((recordedCall != null) ? recordedCall.state() : null, isSameRequest, isRunning,
				ageMs, this.dependencies.settings().keyRetentionMs(), MAX_CLOCK_SKEW_MS);
	}

	private CallHandle send(PartitionHome home, ProgramId program, CallRequest request, String key,
			CallListener listener, Runnable whenEnded) {
		ServiceCall call = (ServiceCall) request.payload();
		RunningCall running = this.calls.start(home, program, request.turn(), key);
		CallHandle detach = running.attach(listener);
		IntendedBody body = new IntendedBody(request.turn(), key, Hashes.ofPayload(call), request.workspace(), call,
				this.dependencies.timer().wallClockMs());
		long startedAtMs = this.dependencies.timer().nowMs();
		if (!this.isIntentFirst) {
			dispatch(home, program, request, key, running, startedAtMs, whenEnded);
			this.dependencies.timer()
				.schedule(DELAYED_INTENT_MS, () -> home.append(program, EntryType.CALL_INTENDED, body, true));
			return detach;
		}
		CompletableFuture<LogEntry> intent = home.append(program, EntryType.CALL_INTENDED, body, true);
		this.dependencies.timer().schedule(request.timeoutMs(), () -> {
			if (!running.isDispatched() && !running.isEnded()) {
				running.abandon();
				Refusal refusal = Refusal.notRun(RefusalReason.HOME_UNREACHABLE,
						"the intent could not be recorded on enough instances", 1_000);
				recordOutcome(home, running, key, AtMostOnceState.NOT_SENT, null, refusal, whenEnded);
			}
		});
		intent.whenComplete((entry, error) -> {
			if (running.isAbandoned() || running.isEnded()) {
				return;
			}
			if (error != null || !this.dependencies.lease().isValid()) {
				end(home, running, key, whenEnded);
				running.refuse(HomeCalls.notOwner(RunState.NOT_RUN));
				return;
			}
			dispatch(home, program, request, key, running, startedAtMs, whenEnded);
		});
		return detach;
	}

	private void dispatch(PartitionHome home, ProgramId program, CallRequest request, String key, RunningCall running,
			long startedAtMs, Runnable whenEnded) {
		ProgramState state = home.program(program);
		AtMostOnceCall intendedCall = (state != null) ? state.atMostOnceCalls().get(key) : null;
		this.dependencies.invariants()
			.check(Invariant.AT_MOST_ONCE, intendedCall != null && intendedCall.state() == AtMostOnceState.INTENDED,
					() -> "operation with key " + key + " is sent without an intent");
		running.markDispatched();
		long remainingMs = Math.max(1, request.timeoutMs() - (this.dependencies.timer().nowMs() - startedAtMs));
		CallRequest dispatched = new CallRequest(request.decision(), request.workspace(), request.key(),
				request.program(), request.turn(), request.workKind(), request.payload(), remainingMs);
		this.dependencies.steps().reached(Step.DISPATCH);
		running.setHandle(this.nextLayer.run(dispatched, new CallListener() {

			@Override
			public void generated(int offset, String text) {
				running.generated(offset, text);
			}

			@Override
			public void completed(CallResult result) {
				if (result.status() >= 500) {
					resolveUnknownOutcome(home, running, key, "the service answered with status " + result.status(),
							whenEnded);
				}
				else {
					recordOutcome(home, running, key, AtMostOnceState.SETTLED, result, null, whenEnded);
				}
			}

			@Override
			public void refused(Refusal refusal) {
				if (refusal.run() == RunState.NOT_RUN) {
					recordOutcome(home, running, key, AtMostOnceState.NOT_SENT, null, refusal, whenEnded);
				}
				else {
					resolveUnknownOutcome(home, running, key, refusal.detail(), whenEnded);
				}
			}

		}));
	}

	private void resolveUnknownOutcome(PartitionHome home, RunningCall running, String key, String detail,
			Runnable whenEnded) {
		ProgramState state = home.program(running.program());
		AtMostOnceCall call = (state != null) ? state.atMostOnceCalls().get(key) : null;
		if (call == null || home.isLost()) {
			end(home, running, key, whenEnded);
			running.refuse(HomeCalls.notOwner(RunState.UNKNOWN));
			return;
		}
		this.outcomeQuery.queryOutcome(call.intended().call()).thenAccept((outcome) -> {
			Refusal refusal = (outcome.state() == AtMostOnceState.SETTLED) ? null
					: (outcome.state() == AtMostOnceState.NOT_SENT)
							? Refusal.notRun(RefusalReason.UPSTREAM_FAILED, detail, HomeCalls.RETRY_AFTER_MS)
							: new Refusal(RefusalReason.OUTCOME_UNKNOWN, RunState.UNKNOWN, detail, 0);
			recordOutcome(home, running, key, outcome.state(), outcome.result(), refusal, whenEnded);
		});
	}

	private void recordOutcome(PartitionHome home, RunningCall running, String key, AtMostOnceState state,
			@Nullable CallResult result, @Nullable Refusal refusal, Runnable whenEnded) {
		this.dependencies.steps().reached(Step.SETTLE);
		SettledBody body = new SettledBody(key, state, result, state.name().toLowerCase(Locale.ROOT),
				this.dependencies.timer().wallClockMs());
		home.append(running.program(), EntryType.CALL_SETTLED, body, false).whenComplete((entry, error) -> {
			end(home, running, key, whenEnded);
			if (error != null) {
				running.refuse(
						HomeCalls.notOwner((state == AtMostOnceState.NOT_SENT) ? RunState.NOT_RUN : RunState.UNKNOWN));
			}
			else if (refusal != null) {
				running.refuse(refusal);
			}
			else {
				running.complete(Objects.requireNonNull(result));
			}
		});
	}

	private void end(PartitionHome home, RunningCall running, String key, Runnable whenEnded) {
		this.calls.end(home, running, key);
		whenEnded.run();
	}

	private static Refusal refusal(AtMostOnceDecision decision) {
		return switch (decision) {
			case REFUSE_REUSED -> Refusal.notRun(RefusalReason.IDEMPOTENCY_KEY_REUSED,
					"the idempotency key came with another request before", 0);
			case REFUSE_EXPIRED -> new Refusal(RefusalReason.IDEMPOTENCY_KEY_EXPIRED, RunState.UNKNOWN,
					"the idempotency key is too old", 0);
			case REFUSE_MALFORMED ->
				Refusal.notRun(RefusalReason.MALFORMED_REQUEST, "the idempotency key carries a time in the future", 0);
			default -> new Refusal(RefusalReason.OUTCOME_UNKNOWN, RunState.UNKNOWN,
					"the outcome of the operation is unknown until an operator resolves it", 0);
		};
	}

}
