package dev.nutmegdoor.core.program;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.explain.DecisionKind;
import dev.nutmegdoor.core.explain.DecisionRecord;
import dev.nutmegdoor.core.id.ProgramId;

/**
 * Calls that run at this home, shared by the runners of turns and of operations that run
 * at most once.
 */
final class HomeCalls {

	/** Wait that suits a hand-over within a zone. */
	static final long RETRY_AFTER_MS = 500;

	private final Map<ProgramId, Map<String, RunningCall>> runningCalls = new HashMap<>();

	private final ProgramDependencies dependencies;

	HomeCalls(ProgramDependencies dependencies) {
		this.dependencies = dependencies;
	}

	@Nullable RunningCall find(ProgramId program, String name) {
		return this.runningCalls.getOrDefault(program, Map.of()).get(name);
	}

	List<RunningCall> of(ProgramId program) {
		return List.copyOf(this.runningCalls.getOrDefault(program, Map.of()).values());
	}

	/**
	 * Returns the turn that a program runs now.
	 * @param program the program
	 * @return its number, 0 if none runs
	 */
	int runningTurn(ProgramId program) {
		return of(program).stream().mapToInt(RunningCall::turn).max().orElse(0);
	}

	int size() {
		return this.runningCalls.values().stream().mapToInt(Map::size).sum();
	}

	RunningCall start(PartitionHome home, ProgramId program, int turn, String name) {
		RunningCall call = new RunningCall(program, turn);
		this.runningCalls.computeIfAbsent(program, (key) -> new HashMap<>()).put(name, call);
		home.callStarted();
		return call;
	}

	void end(PartitionHome home, RunningCall call, String name) {
		Map<String, RunningCall> calls = this.runningCalls.get(call.program());
		if (calls != null && calls.remove(name, call)) {
			home.callEnded();
			if (calls.isEmpty()) {
				this.runningCalls.remove(call.program());
			}
		}
	}

	/**
	 * Gives up the calls of a partition that was lost. What was sent to an upstream may
	 * still run there, but its answer can't be recorded here any more.
	 * @param partition name of the partition
	 */
	void abandonCallsOf(String partition) {
		for (ProgramId program : List.copyOf(this.runningCalls.keySet())) {
			if (program.partitionName().equals(partition)) {
				for (RunningCall call : of(program)) {
					call.abandon();
					call.refuse(notOwner(call.isDispatched() ? RunState.UNKNOWN : RunState.NOT_RUN));
				}
				this.runningCalls.remove(program);
			}
		}
	}

	/**
	 * Tells a caller that another instance is to be asked.
	 * @param runState what is known about the effect of the call
	 * @return the refusal
	 */
	static Refusal notOwner(RunState runState) {
		return new Refusal(RefusalReason.NOT_OWNER, runState, "this instance does not own the program", RETRY_AFTER_MS);
	}

	void record(CallRequest request, DecisionKind kind, boolean isRefusal, Object inputs, Object outcome,
			String counterfactual) {
		this.dependencies.decisions()
			.record(new DecisionRecord(request.decision(), kind, this.dependencies.timer().wallClockMs(),
					request.workspace(), isRefusal, Objects.toString(outcome), inputs, outcome, List.of(),
					counterfactual));
	}

}
