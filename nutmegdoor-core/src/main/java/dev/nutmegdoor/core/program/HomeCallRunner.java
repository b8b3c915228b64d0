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
 * Runs the calls of programs at their home: one at a time in the order of their turns,
 * each turn once. Calls that belong to no home go to the next layer unchanged.
 */
final class HomeCallRunner implements CallRunner {

	private static final CallHandle NO_HANDLE = () -> {
	};

	private final ProgramDependencies dependencies;

	private final PartitionController controller;

	private final HomeCalls calls;

	private final TurnRunner turns;

	private final AtMostOnceCallRunner onceCalls;

	private final CallRunner lower;

	private final Map<ProgramId, List<WaitingCall>> waiting = new HashMap<>();

	HomeCallRunner(ProgramDependencies dependencies, PartitionController controller, HomeCalls calls, TurnRunner turns,
			AtMostOnceCallRunner onceCalls, CallRunner lower) {
		this.dependencies = dependencies;
		this.controller = controller;
		this.calls = calls;
		this.turns = turns;
		this.onceCalls = onceCalls;
		this.lower = lower;
	}

	/**
	 * Returns the log that a call belongs to.
	 * @param request the call
	 * @return its program, the log of its idempotency key, or {@code null} if it needs no
	 * home
	 */
	@Nullable ProgramId logOf(CallRequest request) {
		if (request.program() != null) {
			return request.program();
		}
		boolean isKeyed = request.payload() instanceof ServiceCall call && call.idempotencyKey() != null;
		if (!isKeyed || !isOnce(request)) {
			return null;
		}
		String key = AtMostOnceCallRunner.keyOf(request, (ServiceCall) request.payload());
		return Hashes.keyLog(this.dependencies.settings(), request.workspace(), key);
	}

	private boolean isOnce(CallRequest request) {
		if (!(request.payload() instanceof ServiceCall call)) {
			return false;
		}
		ServiceOperation operation = this.dependencies.configuration()
			.current()
			.operations()
			.get(call.service() + "/" + call.operation());
		// An operation that the configuration doesn't describe may be unsafe to repeat.
		return operation == null || operation.repeatability() == Repeatability.AT_MOST_ONCE;
	}

	@Override
	public CallHandle run(CallRequest request, CallListener listener) {
		ProgramId log = logOf(request);
		if (log == null) {
			if (isOnce(request)) {
				listener.refused(Refusal.notRun(RefusalReason.MALFORMED_REQUEST,
						"an operation that may not be repeated needs an idempotency key or a program", 0));
				return NO_HANDLE;
			}
			return this.lower.run(request, listener);
		}
		PartitionHome home = this.controller.serving(log.partitionName());
		if (home == null) {
			listener.refused(HomeCalls.notOwner(RunState.NOT_RUN));
			return NO_HANDLE;
		}
		if (request.program() == null) {
			if (home.isFrozen() && this.calls.of(log).isEmpty()) {
				listener.refused(HomeCalls.notOwner(RunState.NOT_RUN));
				return NO_HANDLE;
			}
			return this.onceCalls.run(home, log, request, listener, () -> {
			});
		}
		WaitingCall call = new WaitingCall(normalized(request), listener, this.dependencies.timer().nowMs());
		decide(home, log, call);
		return call::cancel;
	}

	private CallRequest normalized(CallRequest request) {
		if (!(request.payload() instanceof ServiceCall call) || call.idempotencyKey() != null || !isOnce(request)) {
			return request;
		}
		// The service can be asked for the outcome only by a key.
		ServiceCall keyed = new ServiceCall(call.service(), call.operation(), call.body(),
				request.program() + "-" + request.turn());
		return new CallRequest(request.decision(), request.workspace(), request.key(), request.program(),
				request.turn(), request.workKind(), keyed, request.timeoutMs());
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
		OrderInputs inputs = inputs(state, call);
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
				call.setHandle(start(home, state, call));
			}
			case ATTACH -> {
				call.setHandle(attach(home, state, call));
			}
			case STORED -> {
				call.setHandle(stored(home, state, call));
			}
			case WAIT -> await(home, program, call);
			default -> call.listener().refused(refusal(decision, state, request.turn()));
		}
	}

	private OrderInputs inputs(ProgramState state, WaitingCall call) {
		int turn = call.request().turn();
		Turn known = state.turn(turn);
		boolean isSame = known != null && known.requestHash() == Hashes.ofPayload(call.request().payload());
		return new OrderInputs(turn, state.completedTurns(), this.calls.runningTurn(state.id()), known != null, isSame,
				this.dependencies.timer().nowMs() - call.sinceMs(),
				Math.min(this.dependencies.settings().earlyWaitMs(), call.request().timeoutMs()),
				state.closed() != null);
	}

	private CallHandle start(PartitionHome home, ProgramState state, WaitingCall call) {
		Runnable whenEnded = () -> wake(home, state.id());
		if (isOnce(call.request())) {
			return this.turns.isWithinBudget(home, state, call.request(), call.listener(), 0)
					? this.onceCalls.run(home, state.id(), call.request(), call.listener(), whenEnded) : NO_HANDLE;
		}
		return this.turns.run(home, state, call.request(), call.listener(), whenEnded);
	}

	private CallHandle attach(PartitionHome home, ProgramState state, WaitingCall call) {
		if (isOnce(call.request())) {
			return this.onceCalls.run(home, state.id(), call.request(), call.listener(), () -> {
			});
		}
		RunningCall running = this.calls.find(state.id(), TurnRunner.nameOf(call.request().turn()));
		if (running == null) {
			throw new IllegalStateException("turn " + call.request().turn() + " of " + state.id() + " does not run");
		}
		return running.attach(call.listener());
	}

	private CallHandle stored(PartitionHome home, ProgramState state, WaitingCall call) {
		Turn turn = state.turn(call.request().turn());
		AtMostOnceCall once = (turn != null && turn.key() != null) ? state.onceCalls().get(turn.key()) : null;
		if (once != null && once.state() == AtMostOnceState.NOT_SENT) {
			// An operator found that it did not run, but later turns have run since.
			call.listener().refused(refusal(OrderDecision.REFUSE_REUSED, state, call.request().turn()));
			return NO_HANDLE;
		}
		if (turn == null || turn.key() != null) {
			return this.onceCalls.run(home, state.id(), call.request(), call.listener(), () -> {
			});
		}
		RunningCall running = this.calls.find(state.id(), TurnRunner.nameOf(call.request().turn()));
		if (running != null) {
			// The answer is complete but not durable yet.
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

	private void await(PartitionHome home, ProgramId program, WaitingCall call) {
		List<WaitingCall> queue = this.waiting.computeIfAbsent(program, (key) -> new ArrayList<>());
		queue.add(call);
		long waitedMs = this.dependencies.timer().nowMs() - call.sinceMs();
		long leftMs = Math.min(this.dependencies.settings().earlyWaitMs(), call.request().timeoutMs()) - waitedMs;
		this.dependencies.timer().schedule(Math.max(1, leftMs), () -> {
			if (queue.remove(call)) {
				again(home, program, call);
			}
		});
	}

	private void wake(PartitionHome home, ProgramId program) {
		List<WaitingCall> queue = this.waiting.get(program);
		if (queue == null) {
			return;
		}
		List<WaitingCall> woken = new ArrayList<>(queue);
		queue.clear();
		this.waiting.remove(program, queue);
		woken.forEach((call) -> again(home, program, call));
	}

	private void again(PartitionHome home, ProgramId program, WaitingCall call) {
		if (call.isCancelled()) {
			return;
		}
		if (home.isLost() || this.controller.serving(home.name()) != home) {
			call.listener().refused(HomeCalls.notOwner(RunState.NOT_RUN));
			return;
		}
		decide(home, program, call);
	}

	/**
	 * Refuses the calls that wait in a partition that was lost.
	 * @param home the partition
	 */
	void lost(PartitionHome home) {
		for (ProgramId program : List.copyOf(this.waiting.keySet())) {
			if (program.partitionName().equals(home.name())) {
				wake(home, program);
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
