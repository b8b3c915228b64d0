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
 * Runs repeatable turns: reserves budget durably, dispatches with the program's history,
 * and completes the answer when it is durable.
 */
final class TurnRunner {

	private static final CallHandle NO_HANDLE = () -> {
	};

	private final ProgramDependencies dependencies;

	private final HomeCalls calls;

	private final CallRunner lower;

	TurnRunner(ProgramDependencies dependencies, HomeCalls calls, CallRunner lower) {
		this.dependencies = dependencies;
		this.calls = calls;
		this.lower = lower;
	}

	static String nameOf(int turn) {
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
		RunningCall running = this.calls.start(home, state.id(), turn, nameOf(turn));
		Run run = new Run(home, state, request, running, whenEnded, this.dependencies.timer().nowMs());
		running.setWhenDetached(() -> scheduleAbandon(running));
		CallHandle detach = running.attach(listener);
		ReservedBody body = new ReservedBody(turn, Hashes.ofPayload(request.payload()), tokens, messagesJson,
				this.dependencies.timer().wallClockMs());
		CompletableFuture<LogEntry> reserved = home.append(state.id(), EntryType.TURN_RESERVED, body, false);
		checkBudget(home, state);
		this.dependencies.timer().schedule(request.timeoutMs(), () -> {
			if (!running.isDispatched() && !running.isEnded()) {
				running.abandon();
				end(run);
				running.refuse(Refusal.notRun(RefusalReason.HOME_UNREACHABLE,
						"the turn could not be recorded on another instance", 1_000));
			}
		});
		reserved.whenComplete((entry, error) -> dispatch(run, error == null));
		return detach;
	}

	/**
	 * Asks the budgets of a program and its ancestors and refuses the call if one has no
	 * room.
	 * @param home partition of the program
	 * @param state the program
	 * @param request the call
	 * @param listener receives the refusal
	 * @param tokens tokens that the call may need
	 * @return whether there is room
	 */
	boolean isWithinBudget(PartitionHome home, ProgramState state, CallRequest request, CallListener listener,
			long tokens) {
		Turn earlier = state.turn(request.turn());
		long reserved = (earlier != null && earlier.result() == null) ? earlier.tokens() : 0;
		BudgetInputs inputs = BudgetLedger.inputs(home, state, tokens - reserved, (earlier != null) ? 0 : 1, 0,
				this.dependencies.timer().wallClockMs());
		BudgetDecision decision = BudgetRule.decide(inputs);
		this.calls.record(request, DecisionKind.BUDGET, decision != BudgetDecision.GRANTED, inputs, decision,
				(decision != BudgetDecision.GRANTED) ? "a larger budget of the workspace's programs" : "");
		if (decision != BudgetDecision.GRANTED) {
			RunState run = (earlier != null) ? RunState.UNKNOWN : RunState.NOT_RUN;
			listener.refused(new Refusal(RefusalReason.BUDGET_EXHAUSTED, run, decision.detail(), 0));
		}
		return decision == BudgetDecision.GRANTED;
	}

	private void checkBudget(PartitionHome home, ProgramState state) {
		ProgramState current = state;
		while (current != null) {
			OpenedBody opened = current.opened();
			ProgramId id = current.id();
			long tokens = BudgetLedger.tokens(home, current);
			int callCount = BudgetLedger.calls(home, current);
			boolean isHeld = opened == null
					|| (tokens <= opened.budget().maxTokens() && callCount <= opened.budget().maxCalls());
			this.dependencies.invariants()
				.check(Invariant.BUDGET, isHeld,
						() -> "program " + id + " has " + tokens + " tokens and " + callCount + " calls");
			current = BudgetLedger.parent(home, current);
		}
	}

	private void scheduleAbandon(RunningCall running) {
		this.dependencies.timer().schedule(this.dependencies.settings().detachedMs(), () -> {
			if (running.isDetached() && !running.isEnded()) {
				running.abandon();
			}
		});
	}

	private void dispatch(Run run, boolean isReserved) {
		RunningCall running = run.running;
		if (running.isEnded()) {
			return;
		}
		boolean isOwner = isReserved && !run.home.isLost() && this.dependencies.lease().isValid();
		if (!isOwner || running.isAbandoned()) {
			end(run);
			running.refuse(isOwner ? Refusal.notRun(RefusalReason.CANCELLED, "the call was cancelled", 0)
					: HomeCalls.notOwner(RunState.NOT_RUN));
			return;
		}
		running.dispatching();
		CallRequest request = run.request;
		long remainingMs = Math.max(1, request.timeoutMs() - (this.dependencies.timer().nowMs() - run.startMs));
		CallPayload payload = request.payload();
		if (payload instanceof ModelCall call) {
			payload = new ModelCall(call.model(), run.state.prompt(request.turn(), call.messagesJson()),
					(int) Math.min(Integer.MAX_VALUE, run.state.historyTokens() + call.promptTokens()),
					call.maxTokens());
		}
		this.dependencies.steps().reached(Step.DISPATCH);
		running
			.dispatched(
					this.lower.run(
							new CallRequest(request.decision(), request.workspace(), request.key(), request.program(),
									request.turn(), request.workKind(), payload, remainingMs),
							new DispatchListener(run)));
		if (running.isAbandoned()) {
			running.abandon();
		}
	}

	private void completed(Run run, CallResult result) {
		this.dependencies.steps().reached(Step.SETTLE);
		CompletedBody body = new CompletedBody(run.request.turn(), result, this.dependencies.timer().wallClockMs());
		run.home.append(run.state.id(), EntryType.TURN_COMPLETED, body, false).whenComplete((entry, error) -> {
			end(run);
			if (error == null) {
				run.running.complete(result);
			}
			else {
				run.running.refuse(HomeCalls.notOwner(RunState.UNKNOWN));
			}
		});
	}

	private void end(Run run) {
		this.calls.end(run.home, run.running, nameOf(run.request.turn()));
		run.whenEnded.run();
	}

	private record Run(PartitionHome home, ProgramState state, CallRequest request, RunningCall running,
			Runnable whenEnded, long startMs) {

	}

	private final class DispatchListener implements CallListener {

		private final Run run;

		private boolean isStreaming;

		private DispatchListener(Run run) {
			this.run = run;
		}

		@Override
		public void generated(int offset, String text) {
			if (!this.isStreaming) {
				this.isStreaming = true;
				TurnRunner.this.dependencies.steps().reached(Step.STREAM);
			}
			this.run.running.generated(offset, text);
		}

		@Override
		public void completed(CallResult result) {
			TurnRunner.this.completed(this.run, result);
		}

		@Override
		public void refused(Refusal refusal) {
			end(this.run);
			this.run.running.refuse(refusal);
		}

	}

}
