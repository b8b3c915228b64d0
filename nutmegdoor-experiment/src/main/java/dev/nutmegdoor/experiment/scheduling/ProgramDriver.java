package dev.nutmegdoor.experiment.scheduling;

import java.util.List;

import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.ProgramId;

/**
 * Runs one program: its turns in order, its tool pauses and its sub-agents. Refused calls
 * are repeated after the time that the refusal names, a bounded number of times.
 */
final class ProgramDriver {

	static final long CALL_TIMEOUT_MS = 120_000;

	private static final int MAX_REFUSALS = 10;

	private static final KeyId KEY = new KeyId("k");

	private final SimulatedCluster cluster;

	private final PolicyRun policy;

	private final ProgramRegistry programs;

	private final RunMetrics metrics;

	private final ProgramSpec spec;

	private final ProgramId id;

	private final ProgramId root;

	private final Runnable whenEnded;

	private final long openedAtMs;

	private int turn;

	private int historyTokens;

	private int refusals;

	private int calls;

	ProgramDriver(SimulatedCluster cluster, PolicyRun policy, ProgramRegistry programs, RunMetrics metrics,
			ProgramSpec spec, ProgramId root, Runnable whenEnded) {
		this.cluster = cluster;
		this.policy = policy;
		this.programs = programs;
		this.metrics = metrics;
		this.spec = spec;
		this.id = idOf(spec);
		this.root = root;
		this.whenEnded = whenEnded;
		this.openedAtMs = cluster.timer.nowMs();
	}

	static ProgramId idOf(ProgramSpec spec) {
		return new ProgramId(SimulatedCluster.zone(0), 0, spec.name());
	}

	void start() {
		this.programs.open(this.id, this.root, this.openedAtMs);
		call();
	}

	private void call() {
		TurnSpec current = this.spec.turns().get(this.turn);
		int promptTokens = this.historyTokens + current.newTokens();
		DecisionId decision = new DecisionId(this.spec.name() + "c" + this.calls++);
		CallRequest request = new CallRequest(decision, SimulatedCluster.workspace(this.spec.workspace()), KEY, this.id,
				this.turn + 1, this.cluster.deployment.workKinds().get(this.spec.kind()),
				new ModelCall(SimulatedCluster.MODEL, "[]", promptTokens, current.answerTokens()), CALL_TIMEOUT_MS);
		this.metrics.callStarted(this.spec.workspace());
		this.policy.runnerOf(this.root).run(request, new Listener(current, this.cluster.timer.nowMs()));
	}

	private void answered(TurnSpec current, CallResult result) {
		this.metrics.callCompleted(this.historyTokens, result.cachedTokens());
		this.historyTokens += current.newTokens() + current.answerTokens();
		this.refusals = 0;
		this.turn++;
		startSubAgents(current.subAgents(), () -> {
			if (this.turn < this.spec.turns().size()) {
				this.cluster.timer.schedule(current.pauseMs(), this::call);
			}
			else {
				end(true);
			}
		});
	}

	private void startSubAgents(List<ProgramSpec> subAgents, Runnable whenAllEnded) {
		if (subAgents.isEmpty()) {
			whenAllEnded.run();
			return;
		}
		int[] open = { subAgents.size() };
		for (ProgramSpec subAgent : subAgents) {
			new ProgramDriver(this.cluster, this.policy, this.programs, this.metrics, subAgent, this.root, () -> {
				if (--open[0] == 0) {
					whenAllEnded.run();
				}
			}).start();
		}
	}

	private void refused(Refusal refusal) {
		this.metrics.callRefused(this.spec.workspace());
		if (++this.refusals > MAX_REFUSALS) {
			end(false);
			return;
		}
		this.cluster.timer.schedule(Math.max(100, refusal.retryAfterMs()), this::call);
	}

	private void end(boolean isComplete) {
		this.programs.close(this.id);
		this.policy.programEnded(this.root, this.id);
		if (this.id.equals(this.root)) {
			this.metrics.programEnded(this.spec, this.cluster.timer.nowMs() - this.openedAtMs, isComplete);
		}
		this.whenEnded.run();
	}

	private final class Listener implements CallListener {

		private final TurnSpec current;

		private final long startedMs;

		private long lastMs;

		private Listener(TurnSpec current, long startedMs) {
			this.current = current;
			this.startedMs = startedMs;
		}

		@Override
		public void generated(int offset, String text) {
			long nowMs = ProgramDriver.this.cluster.timer.nowMs();
			if (this.lastMs == 0) {
				ProgramDriver.this.metrics
					.firstToken(nowMs - this.startedMs + 2L * ProgramDriver.this.cluster.deployment.clientMs());
			}
			else {
				ProgramDriver.this.metrics.nextToken(nowMs - this.lastMs);
			}
			this.lastMs = nowMs;
		}

		@Override
		public void completed(CallResult result) {
			answered(this.current, result);
		}

		@Override
		public void refused(Refusal refusal) {
			ProgramDriver.this.refused(refusal);
		}

	}

}
