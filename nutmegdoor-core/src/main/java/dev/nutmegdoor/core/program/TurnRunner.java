package dev.nutmegdoor.core.program;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallPayload;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.explain.DecisionKind;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.invariant.Invariant;

/**
 * Runs turns that may be repeated: records the budget reservation durably, dispatches the
 * call with the program's history, and completes it once the response is durable.
 */
final class TurnRunner {

	private static final CallHandle NO_HANDLE = () -> {
	};

	private final ProgramDependencies dependencies;

	private final HomeCalls calls;

	private final CallRunner nextLayer;

	TurnRunner(ProgramDependencies dependencies, HomeCalls calls, CallRunner nextLayer) {
		this.dependencies = dependencies;
		this.calls = calls;
		this.nextLayer = nextLayer;
	}

	static String callName(int turn) {
		return "#" + turn;
	}

	CallHandle run(PartitionHome home, ProgramState state, CallRequest request, CallListener listener,
			Runnable whenEnded) {
		long tokens = 0;
		String messagesJson = "";
		if (request.payload() instanceof ModelCall call) {
			tokens = state.historyTokens() + call.promptTokens() + call.maxTokens();
			messagesJson = call.messagesJson();
		}
		if (!isWithinBudget(home, state, request, listener, tokens)) {
			return NO_HANDLE;
		}
		int turn = request.turn();
		this.dependencies.invariants()
			.check(Invariant.PROGRAM_ORDER, turn == state.completedTurns() + 1,
					() -> "turn " + turn + " of " + state.id() + " after turn " + state.completedTurns());
		RunningCall running = this.calls.start(home, state.id(), turn, callName(turn));
		TurnExecution execution = new TurnExecution(home, state, request, running, whenEnded,
				this.dependencies.timer().nowMs());
		running.setWhenDetached(() -> scheduleAbandonIfDetached(running));
		CallHandle detach = running.attach(listener);
		ReservedBody body = new ReservedBody(turn, Hashes.ofPayload(request.payload()), tokens, messagesJson,
				this.dependencies.timer().wallClockMs());
		CompletableFuture<LogEntry> reservation = home.append(state.id(), EntryType.TURN_RESERVED, body, false);
		checkBudgetInvariant(home, state);
		this.dependencies.timer().schedule(request.timeoutMs(), () -> {
			if (!running.isDispatched() && !running.isEnded()) {
				running.abandon();
				end(execution);
				running.refuse(Refusal.notRun(RefusalReason.HOME_UNREACHABLE,
						"the turn could not be recorded on another instance", 1_000));
			}
		});
		reservation.whenComplete((entry, error) -> dispatch(execution, error == null));
		return detach;
	}

	/**
	 * Checks the budgets of a program and its ancestors, and rejects the call if it
	 * exceeds one of them.
	 * @param home partition of the program
	 * @param state the program
	 * @param request the call
	 * @param listener receives the rejection
	 * @param tokens maximum number of tokens that the call may use, 0 for a service call
	 * @return {@code false} if the call was rejected
	 */
	boolean isWithinBudget(PartitionHome home, ProgramState state, CallRequest request, CallListener listener,
			long tokens) {
		Turn previousAttempt = state.turn(request.turn());
		long alreadyReservedTokens = (previousAttempt != null && previousAttempt.result() == null)
				? previousAttempt.tokens() : 0;
		BudgetInputs inputs = BudgetLedger.inputs(home, state, tokens - alreadyReservedTokens,
				(previousAttempt != null) ? 0 : 1, 0, this.dependencies.timer().wallClockMs());
		BudgetDecision decision = BudgetRule.decide(inputs);
		this.calls.record(request, DecisionKind.BUDGET, decision != BudgetDecision.GRANTED, inputs, decision,
				(decision != BudgetDecision.GRANTED) ? "a larger budget of the workspace's programs" : "");
		if (decision != BudgetDecision.GRANTED) {
			RunState runState = (previousAttempt != null) ? RunState.UNKNOWN : RunState.NOT_RUN;
			listener.refused(new Refusal(RefusalReason.BUDGET_EXHAUSTED, runState, decision.detail(), 0));
		}
		return decision == BudgetDecision.GRANTED;
	}

	private void checkBudgetInvariant(PartitionHome home, ProgramState state) {
		ProgramState current = state;
		while (current != null) {
			OpenedBody opened = current.opened();
			ProgramId id = current.id();
			long tokens = BudgetLedger.tokens(home, current);
			int callCount = BudgetLedger.callCount(home, current);
			boolean isWithinLimits = opened == null
					|| (tokens <= opened.budget().maxTokens() && callCount <= opened.budget().maxCalls());
			this.dependencies.invariants()
				.check(Invariant.BUDGET, isWithinLimits,
						() -> "program " + id + " has " + tokens + " tokens and " + callCount + " calls");
			current = BudgetLedger.parent(home, current);
		}
	}

	private void scheduleAbandonIfDetached(RunningCall running) {
		this.dependencies.timer().schedule(this.dependencies.settings().detachedMs(), () -> {
			if (running.isDetached() && !running.isEnded()) {
				running.abandon();
			}
		});
	}

	private void dispatch(TurnExecution execution, boolean isReserved) {
		RunningCall running = execution.running;
		if (running.isEnded()) {
			return;
		}
		boolean isOwner = isReserved && !execution.home.isLost() && this.dependencies.lease().isValid();
		if (!isOwner || running.isAbandoned()) {
			end(execution);
			running.refuse(isOwner ? Refusal.notRun(RefusalReason.CANCELLED, "the call was cancelled", 0)
					: HomeCalls.notOwner(RunState.NOT_RUN));
			return;
		}
		running.markDispatched();
		CallRequest request = execution.request;
		long remainingMs = Math.max(1,
				request.timeoutMs() - (this.dependencies.timer().nowMs() - execution.startedAtMs));
		CallPayload payload = request.payload();
		if (payload instanceof ModelCall call) {
			payload = new ModelCall(call.model(), execution.state.prompt(request.turn(), call.messagesJson()),
					(int) Math.min(Integer.MAX_VALUE, execution.state.historyTokens() + call.promptTokens()),
					call.maxTokens());
		}
		this.dependencies.steps().reached(Step.DISPATCH);
		running
			.setHandle(this.nextLayer.run(
					new CallRequest(request.decision(), request.workspace(), request.key(), request.program(),
							request.turn(), request.workKind(), payload, remainingMs),
					new DispatchListener(execution)));
		if (running.isAbandoned()) {
			running.abandon();
		}
	}

	private void recordResponse(TurnExecution execution, CallResult result) {
		this.dependencies.steps().reached(Step.SETTLE);
		CompletedBody body = new CompletedBody(execution.request.turn(), result,
				this.dependencies.timer().wallClockMs());
		execution.home.append(execution.state.id(), EntryType.TURN_COMPLETED, body, false)
			.whenComplete((entry, error) -> {
				end(execution);
				if (error == null) {
					execution.running.complete(result);
				}
				else {
					execution.running.refuse(HomeCalls.notOwner(RunState.UNKNOWN));
				}
			});
	}

	private void end(TurnExecution execution) {
		this.calls.end(execution.home, execution.running, callName(execution.request.turn()));
		execution.whenEnded.run();
	}

	private record TurnExecution(PartitionHome home, ProgramState state, CallRequest request, RunningCall running,
			Runnable whenEnded, long startedAtMs) {

	}

	private final class DispatchListener implements CallListener {

		private final TurnExecution execution;

		private boolean isStreaming;

		private DispatchListener(TurnExecution execution) {
			this.execution = execution;
		}

		@Override
		public void generated(int offset, String text) {
			if (!this.isStreaming) {
				this.isStreaming = true;
				TurnRunner.this.dependencies.steps().reached(Step.STREAM);
			}
			this.execution.running.generated(offset, text);
		}

		@Override
		public void completed(CallResult result) {
			TurnRunner.this.recordResponse(this.execution, result);
		}

		@Override
		public void refused(Refusal refusal) {
			end(this.execution);
			this.execution.running.refuse(refusal);
		}

	}

}
