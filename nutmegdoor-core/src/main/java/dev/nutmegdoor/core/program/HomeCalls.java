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
 * Calls in progress at this home, shared by the runners of repeatable turns and of
 * at-most-once operations.
 */
final class HomeCalls {

	/** Suggested delay before a retry, sufficient for a handover within a zone. */
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
	 * Returns the turn of a program that is in progress.
	 * @param program the program
	 * @return number of the turn, 0 if none is in progress
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
	 * Abandons the calls of a partition that this instance no longer owns. A call that
	 * was sent to an upstream may still run there, but its response can't be recorded.
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
	 * Creates the refusal of a call that has to be retried at the owner of its partition.
	 * @param runState whether the call may have taken effect
	 * @return a refusal with the reason {@code NOT_OWNER}
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
