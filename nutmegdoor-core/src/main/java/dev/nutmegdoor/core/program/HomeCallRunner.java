package dev.nutmegdoor.core.program;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.AtMostOnceState;
import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.Repeatability;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.ServiceOperation;
import dev.nutmegdoor.core.explain.DecisionKind;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.invariant.Invariant;

/**
 * Runs the calls of programs at their home, the instance that owns the program's
 * partition: one call of a program at a time, in the order of their turns, each turn
 * once. Calls that need no home are passed to the next layer unchanged.
 */
final class HomeCallRunner implements CallRunner {

	private static final CallHandle NO_HANDLE = () -> {
	};

	private final ProgramDependencies dependencies;

	private final PartitionController controller;

	private final HomeCalls calls;

	private final TurnRunner turnRunner;

	private final AtMostOnceCallRunner atMostOnceRunner;

	private final CallRunner nextLayer;

	private final Map<ProgramId, List<WaitingCall>> waitingByProgram = new HashMap<>();

	HomeCallRunner(ProgramDependencies dependencies, PartitionController controller, HomeCalls calls,
			TurnRunner turnRunner, AtMostOnceCallRunner atMostOnceRunner, CallRunner nextLayer) {
		this.dependencies = dependencies;
		this.controller = controller;
		this.calls = calls;
		this.turnRunner = turnRunner;
		this.atMostOnceRunner = atMostOnceRunner;
		this.nextLayer = nextLayer;
	}

	/**
	 * Returns the log in which a call is recorded.
	 * @param request the call
	 * @return the program of the call, the log of its idempotency key if it has no
	 * program, or {@code null} if it needs no home
	 */
	@Nullable ProgramId logOf(CallRequest request) {
		if (request.program() != null) {
			return request.program();
		}
		boolean hasIdempotencyKey = request.payload() instanceof ServiceCall call && call.idempotencyKey() != null;
		if (!hasIdempotencyKey || !isAtMostOnce(request)) {
			return null;
		}
		String key = AtMostOnceCallRunner.keyOf(request, (ServiceCall) request.payload());
		return Hashes.keyLog(this.dependencies.settings(), request.workspace(), key);
	}

	private boolean isAtMostOnce(CallRequest request) {
		if (!(request.payload() instanceof ServiceCall call)) {
			return false;
		}
		ServiceOperation operation = this.dependencies.configuration()
			.current()
			.operations()
			.get(call.service() + "/" + call.operation());
		// An operation without a configuration entry may be unsafe to repeat.
		return operation == null || operation.repeatability() == Repeatability.AT_MOST_ONCE;
	}

	@Override
	public CallHandle run(CallRequest request, CallListener listener) {
		ProgramId log = logOf(request);
		if (log == null) {
			if (isAtMostOnce(request)) {
				listener.refused(Refusal.notRun(RefusalReason.MALFORMED_REQUEST,
						"an operation that may not be repeated needs an idempotency key or a program", 0));
				return NO_HANDLE;
			}
			return this.nextLayer.run(request, listener);
		}
		PartitionHome home = this.controller.servedHome(log.partitionName());
		if (home == null) {
			listener.refused(HomeCalls.notOwner(RunState.NOT_RUN));
			return NO_HANDLE;
		}
		if (request.program() == null) {
			if (home.isFrozen() && this.calls.of(log).isEmpty()) {
				listener.refused(HomeCalls.notOwner(RunState.NOT_RUN));
				return NO_HANDLE;
			}
			return this.atMostOnceRunner.run(home, log, request, listener, () -> {
			});
		}
		WaitingCall call = new WaitingCall(withIdempotencyKey(request), listener, this.dependencies.timer().nowMs());
		decide(home, log, call);
		return call::cancel;
	}

	private CallRequest withIdempotencyKey(CallRequest request) {
		if (!(request.payload() instanceof ServiceCall call) || call.idempotencyKey() != null
				|| !isAtMostOnce(request)) {
			return request;
		}
		// Without a key the service can't be queried for the outcome.
		ServiceCall keyedCall = new ServiceCall(call.service(), call.operation(), call.body(),
				request.program() + "-" + request.turn());
		return new CallRequest(request.decision(), request.workspace(), request.key(), request.program(),
				request.turn(), request.workKind(), keyedCall, request.timeoutMs());
	}

	private void decide(PartitionHome home, ProgramId program, WaitingCall call) {
		CallRequest request = call.request();
		ProgramState state = home.program(program);
		OpenedBody opened = (state != null) ? state.opened() : null;
		if (state == null || opened == null || !opened.workspace().equals(request.workspace())) {
			call.listener()
				.refused(Refusal.notRun(RefusalReason.NOT_FOUND, "the workspace has no program " + program, 0));
			return;
		}
		this.dependencies.invariants()
			.check(Invariant.WORKSPACE_ISOLATION, opened.workspace().equals(request.workspace()),
					() -> "call of " + request.workspace() + " in program " + program);
		OrderInputs inputs = orderInputs(state, call);
		OrderDecision decision = OrderRule.decide(inputs);
		if (decision == OrderDecision.RUN && home.isFrozen()) {
			call.listener().refused(HomeCalls.notOwner(RunState.NOT_RUN));
			return;
		}
		boolean isRefusal = decision.name().startsWith("REFUSE");
		this.calls.record(request, DecisionKind.ORDER, isRefusal, inputs, decision,
				isRefusal ? "turn " + (inputs.completedTurns() + 1) + " would run" : "");
		switch (decision) {
			case RUN -> {
				call.setHandle(startTurn(home, state, call));
			}
			case ATTACH -> {
				call.setHandle(attachToRunningTurn(home, state, call));
			}
			case STORED -> {
				call.setHandle(replayRecordedResponse(home, state, call));
			}
			case WAIT -> enqueue(home, program, call);
			default -> call.listener().refused(refusal(decision, state, request.turn()));
		}
	}

	private OrderInputs orderInputs(ProgramState state, WaitingCall call) {
		int turn = call.request().turn();
		Turn recordedTurn = state.turn(turn);
		boolean isSameRequest = recordedTurn != null
				&& recordedTurn.requestHash() == Hashes.ofPayload(call.request().payload());
		return new OrderInputs(turn, state.completedTurns(), this.calls.runningTurn(state.id()), recordedTurn != null,
				isSameRequest, this.dependencies.timer().nowMs() - call.arrivedAtMs(),
				Math.min(this.dependencies.settings().earlyWaitMs(), call.request().timeoutMs()),
				state.closed() != null);
	}

	private CallHandle startTurn(PartitionHome home, ProgramState state, WaitingCall call) {
		Runnable whenEnded = () -> reevaluateWaitingCalls(home, state.id());
		if (isAtMostOnce(call.request())) {
			return this.turnRunner.isWithinBudget(home, state, call.request(), call.listener(), 0)
					? this.atMostOnceRunner.run(home, state.id(), call.request(), call.listener(), whenEnded)
					: NO_HANDLE;
		}
		return this.turnRunner.run(home, state, call.request(), call.listener(), whenEnded);
	}

	private CallHandle attachToRunningTurn(PartitionHome home, ProgramState state, WaitingCall call) {
		if (isAtMostOnce(call.request())) {
			return this.atMostOnceRunner.run(home, state.id(), call.request(), call.listener(), () -> {
			});
		}
		RunningCall running = this.calls.find(state.id(), TurnRunner.callName(call.request().turn()));
		if (running == null) {
			throw new IllegalStateException("turn " + call.request().turn() + " of " + state.id() + " is not running");
		}
		return running.attach(call.listener());
	}

	private CallHandle replayRecordedResponse(PartitionHome home, ProgramState state, WaitingCall call) {
		Turn turn = state.turn(call.request().turn());
		AtMostOnceCall operationCall = (turn != null && turn.key() != null) ? state.atMostOnceCalls().get(turn.key())
				: null;
		if (operationCall != null && operationCall.state() == AtMostOnceState.NOT_SENT) {
			// An operator resolved the operation as not run, but later turns have run.
			call.listener().refused(refusal(OrderDecision.REFUSE_REUSED, state, call.request().turn()));
			return NO_HANDLE;
		}
		if (turn == null || turn.key() != null) {
			return this.atMostOnceRunner.run(home, state.id(), call.request(), call.listener(), () -> {
			});
		}
		RunningCall running = this.calls.find(state.id(), TurnRunner.callName(call.request().turn()));
		if (running != null) {
			// The response is complete but not yet durable: wait for the running call.
			return running.attach(call.listener());
		}
		this.dependencies.invariants()
			.check(Invariant.ANSWER_MATCH, turn.requestHash() == Hashes.ofPayload(call.request().payload()),
					() -> "stored answer of turn " + call.request().turn() + " belongs to another request");
		if (turn.result() != null) {
			call.listener().completed(turn.result());
		}
		else {
			call.listener().refused(HomeCalls.notOwner(RunState.UNKNOWN));
		}
		return NO_HANDLE;
	}

	private void enqueue(PartitionHome home, ProgramId program, WaitingCall call) {
		List<WaitingCall> queue = this.waitingByProgram.computeIfAbsent(program, (key) -> new ArrayList<>());
		queue.add(call);
		long waitedMs = this.dependencies.timer().nowMs() - call.arrivedAtMs();
		long remainingMs = Math.min(this.dependencies.settings().earlyWaitMs(), call.request().timeoutMs()) - waitedMs;
		this.dependencies.timer().schedule(Math.max(1, remainingMs), () -> {
			if (queue.remove(call)) {
				reevaluate(home, program, call);
			}
		});
	}

	private void reevaluateWaitingCalls(PartitionHome home, ProgramId program) {
		List<WaitingCall> queue = this.waitingByProgram.get(program);
		if (queue == null) {
			return;
		}
		List<WaitingCall> callsToDecide = new ArrayList<>(queue);
		queue.clear();
		this.waitingByProgram.remove(program, queue);
		callsToDecide.forEach((call) -> reevaluate(home, program, call));
	}

	private void reevaluate(PartitionHome home, ProgramId program, WaitingCall call) {
		if (call.isCancelled()) {
			return;
		}
		if (home.isLost() || this.controller.servedHome(home.name()) != home) {
			call.listener().refused(HomeCalls.notOwner(RunState.NOT_RUN));
			return;
		}
		decide(home, program, call);
	}

	/**
	 * Rejects the waiting calls of a partition that this instance no longer owns.
	 * @param home the partition, already marked as lost
	 */
	void rejectWaitingCalls(PartitionHome home) {
		for (ProgramId program : List.copyOf(this.waitingByProgram.keySet())) {
			if (program.partitionName().equals(home.name())) {
				reevaluateWaitingCalls(home, program);
			}
		}
	}

	private static Refusal refusal(OrderDecision decision, ProgramState state, int turn) {
		return switch (decision) {
			case REFUSE_CLOSED -> Refusal.notRun(RefusalReason.PROGRAM_CLOSED, "the program has ended", 0);
			case REFUSE_EARLY -> Refusal.notRun(RefusalReason.OUT_OF_ORDER,
					"turn " + turn + " came before turn " + (state.completedTurns() + 1), HomeCalls.RETRY_AFTER_MS);
			default -> Refusal.notRun(RefusalReason.OUT_OF_ORDER,
					"turn " + turn + " was another request; the next turn is " + (state.completedTurns() + 1), 0);
		};
	}

}
