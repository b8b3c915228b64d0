package dev.nutmegdoor.core.schedule;

import java.util.ArrayList;
import java.util.List;

import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.explain.DecisionAlternative;
import dev.nutmegdoor.core.explain.DecisionKind;
import dev.nutmegdoor.core.explain.DecisionRecord;
import dev.nutmegdoor.core.explain.DecisionRecorder;
import dev.nutmegdoor.core.placement.PlacementDecision;
import dev.nutmegdoor.core.placement.PlacementInput;
import dev.nutmegdoor.core.placement.ScoredReplica;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Records the decisions of the scheduler. A placement is recorded with the inputs and the
 * outcome of the pure placement function, so that it can be reproduced.
 */
final class DecisionLog {

	private final DecisionRecorder recorder;

	private final TimerService timer;

	DecisionLog(DecisionRecorder recorder, TimerService timer) {
		this.recorder = recorder;
		this.timer = timer;
	}

	void recordPlaced(CallRequest request, PlacementInput input, PlacementDecision decision) {
		recordPlacement(request, input, decision);
	}

	void recordDelayed(CallRequest request, PlacementInput input, PlacementDecision decision) {
		recordPlacement(request, input, decision);
	}

	void recordRefusal(CallRequest request, QueueInput input, Refusal refusal) {
		if (this.recorder == DecisionRecorder.NONE) {
			return;
		}
		this.recorder.record(new DecisionRecord(request.decision(), DecisionKind.QUEUE, this.timer.wallClockMs(),
				request.workspace(), true, refusal.reason().typeName(), input, refusal, List.of(),
				"fewer queued calls or more time before the deadline would have let the call wait"));
	}

	private void recordPlacement(CallRequest request, PlacementInput input, PlacementDecision decision) {
		if (this.recorder == DecisionRecorder.NONE) {
			return;
		}
		List<DecisionAlternative> alternatives = new ArrayList<>(decision.alternatives().size());
		for (ScoredReplica replica : decision.alternatives()) {
			alternatives.add(new DecisionAlternative(replica.id().value(), replica.scoreMs(), "ms",
					"wait " + Math.round(replica.waitMs()) + ", prefill " + Math.round(replica.prefillMs())
							+ ", decode " + Math.round(replica.decodeMs()) + ", crossing "
							+ Math.round(replica.crossingMs()) + (replica.hasPlace() ? "" : ", no place")));
		}
		this.recorder.record(new DecisionRecord(request.decision(), DecisionKind.PLACEMENT, this.timer.wallClockMs(),
				request.workspace(), false, decision.rule().name(), input, decision, alternatives,
				decision.counterfactual()));
	}

}
