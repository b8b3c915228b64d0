package dev.nutmegdoor.node.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.configuration.CallerKey;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.key.KeyAuthenticator;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.node.settings.LimitSettings;

/**
 * Tracks the calls that this instance runs for its clients and cancels the calls of
 * withdrawn keys. Used on the control thread.
 */
final class RunningCalls {

	/** Maximum time for which a withdrawn key may be used (design, section 1.2). */
	private static final long MAX_WITHDRAWN_KEY_USE_MS = 3_000;

	private static final long SWEEP_PERIOD_MS = 250;

	private final CallRunner runner;

	private final KeyAuthenticator authenticator;

	private final ConfigurationView configuration;

	private final LimitSettings limits;

	private final InvariantRegistry invariants;

	private final EventLog eventLog;

	private final TimerService timers;

	private final Map<DecisionId, CallResponse> responses = new HashMap<>();

	private long lastSweepMs;

	RunningCalls(CallRunner runner, KeyAuthenticator authenticator, ConfigurationView configuration,
			LimitSettings limits, InvariantRegistry invariants, EventLog eventLog, TimerService timers) {
		this.runner = runner;
		this.authenticator = authenticator;
		this.configuration = configuration;
		this.limits = limits;
		this.invariants = invariants;
		this.eventLog = eventLog;
		this.timers = timers;
		this.lastSweepMs = timers.nowMs();
		timers.subscribe(SWEEP_PERIOD_MS, this::sweep);
	}

	/**
	 * Creates the response of a call; {@link #start} runs the call.
	 * @param request call to run later
	 * @return response that has not started
	 */
	CallResponse prepare(CallRequest request) {
		return new CallResponse(request, this.limits, this.invariants, () -> this.responses.remove(request.decision()));
	}

	void start(CallResponse response) {
		CallRequest request = response.request();
		CallerKey key = this.configuration.current().keys().get(request.key());
		boolean isKeyOfWorkspace = this.invariants.check(Invariant.WORKSPACE_ISOLATION,
				key == null || key.workspace().equals(request.workspace()),
				() -> "call " + request.decision() + " was to run for workspace " + request.workspace() + " with key "
						+ request.key() + " of another workspace");
		if (!isKeyOfWorkspace) {
			response.refused(Refusal.notRun(RefusalReason.FORBIDDEN, "the key belongs to another workspace", 0));
			return;
		}
		if (response.isEnded()) {
			return;
		}
		this.responses.put(request.decision(), response);
		response.started(this.runner.run(request, response));
	}

	int count() {
		return this.responses.size();
	}

	private void sweep() {
		long nowMs = this.timers.nowMs();
		long sinceLastSweepMs = nowMs - this.lastSweepMs;
		this.lastSweepMs = nowMs;
		for (CallResponse response : List.copyOf(this.responses.values())) {
			CallRequest request = response.request();
			if (!this.authenticator.isActive(request.key())) {
				this.invariants.check(Invariant.KEY_WITHDRAWAL, sinceLastSweepMs <= MAX_WITHDRAWN_KEY_USE_MS,
						() -> "key " + request.key() + " was last checked " + sinceLastSweepMs + " ms ago");
				this.eventLog.record("call.key_withdrawn", "decision", request.decision(), "key", request.key());
				response.abort(new Refusal(RefusalReason.KEY_WITHDRAWN, RunState.UNKNOWN, "the key was withdrawn", 0));
			}
		}
	}

}
