package dev.nutmegdoor.node.entry;

import java.util.List;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.explain.DecisionKind;
import dev.nutmegdoor.core.explain.DecisionRecord;
import dev.nutmegdoor.core.explain.DecisionRecorder;
import dev.nutmegdoor.core.limit.Admission;
import dev.nutmegdoor.core.limit.AdmissionDecision;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Records the decisions of the filter chain.
 */
public final class EntryDecisions {

	private final DecisionRecorder recorder;

	private final TimerService timers;

	public EntryDecisions(DecisionRecorder recorder, TimerService timers) {
		this.recorder = recorder;
		this.timers = timers;
	}

	void recordAdmission(Exchange exchange, Admission admission) {
		AdmissionDecision decision = admission.decision();
		Object inputs = (decision != null) ? decision.inputs() : admission;
		Object outcome = (decision != null) ? decision.step() : admission;
		String counterfactual = admission.isAdmitted() ? "an empty bucket on all instances would have refused it"
				: "a request " + admission.retryAfterMs() + " ms later would have found a token";
		record(exchange, (decision != null) ? DecisionKind.ADMISSION : DecisionKind.OUTCOME, !admission.isAdmitted(),
				admission.rule(), inputs, outcome, counterfactual);
	}

	void recordRefusal(Exchange exchange, Refusal refusal) {
		boolean isAuthentication = refusal.reason() == RefusalReason.UNAUTHENTICATED
				|| refusal.reason() == RefusalReason.KEY_WITHDRAWN;
		record(exchange, isAuthentication ? DecisionKind.AUTHENTICATION : DecisionKind.OUTCOME, true,
				refusal.reason().typeName(), refusal, refusal,
				isAuthentication ? "a key that is known and not withdrawn would have been accepted" : refusal.detail());
	}

	private void record(Exchange exchange, DecisionKind kind, boolean isRefusal, String rule, Object inputs,
			Object outcome, String counterfactual) {
		this.recorder.record(new DecisionRecord(exchange.decision(), kind, this.timers.wallClockMs(),
				exchange.workspaceOrNull(), isRefusal, rule, inputs, outcome, List.of(), counterfactual));
	}

}
