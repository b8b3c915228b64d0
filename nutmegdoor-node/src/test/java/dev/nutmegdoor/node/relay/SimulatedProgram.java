package dev.nutmegdoor.node.relay;

import java.util.List;

import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RelayedCall;
import dev.nutmegdoor.core.call.Repeatability;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.placement.PromptPart;

/**
 * Client of one program: runs its turns, tools and sub-agents.
 */
final class SimulatedProgram {

	/** Number of times that a client retries a failed turn. */
	private static final int MAX_TURN_FAILURES = 2;

	private static final long MIN_RETRY_DELAY_MS = 100;

	/** Call of an engine, whose timeout is 3 s. */
	private static final PeakDayWorkload.ToolCall ENGINE_CALL = new PeakDayWorkload.ToolCall(0, 3_000);

	private static final WorkspaceId WORKSPACE = new WorkspaceId("w");

	private static final KeyId KEY = new KeyId("k");

	private final ModelledCluster cluster;

	private final PeakDayWorkload.Program program;

	private final int instance;

	private final CallRunner runner;

	private final long clientMs;

	private final CompletionListener completionListener;

	private long startedMs;

	private int turns;

	/**
	 * Creates a program that has not started.
	 * @param cluster replicas that run the requests
	 * @param program turns and objective of the program
	 * @param instance index of the instance that receives its requests
	 * @param runner runner of that instance
	 * @param clientMs one-way latency between client and instance in milliseconds
	 * @param completionListener receives whether the program completed or failed
	 */
	SimulatedProgram(ModelledCluster cluster, PeakDayWorkload.Program program, int instance, CallRunner runner,
			long clientMs, CompletionListener completionListener) {
		this.cluster = cluster;
		this.program = program;
		this.instance = instance;
		this.runner = runner;
		this.clientMs = clientMs;
		this.completionListener = completionListener;
	}

	void start() {
		this.startedMs = this.cluster.timer.nowMs();
		run(this.program.turns(), 0, 0, true, this.completionListener);
	}

	double elapsedMs() {
		return (double) this.cluster.timer.nowMs() - this.startedMs;
	}

	/**
	 * Returns the number of turns that were sent.
	 * @return number of turns, including retries
	 */
	int turns() {
		return this.turns;
	}

	private void run(List<PeakDayWorkload.Turn> turnSequence, int index, int failures, boolean isMainSequence,
			CompletionListener sequenceListener) {
		if (index == turnSequence.size()) {
			sequenceListener.ended(true);
			return;
		}
		PeakDayWorkload.Turn turn = turnSequence.get(index);
		this.turns++;
		call(ModelledCluster.ENGINES, turn.prompt(), turn.answerTokens(), ENGINE_CALL, isMainSequence && index == 0,
				(isServed, retryAfterMs) -> {
					if (isServed) {
						runPauseToolsAndSubAgents(turn,
								() -> run(turnSequence, index + 1, 0, isMainSequence, sequenceListener),
								() -> sequenceListener.ended(false));
					}
					else if (failures < MAX_TURN_FAILURES) {
						this.cluster.timer.schedule(Math.max(MIN_RETRY_DELAY_MS, retryAfterMs),
								() -> run(turnSequence, index, failures + 1, isMainSequence, sequenceListener));
					}
					else {
						sequenceListener.ended(false);
					}
				});
	}

	// Pause, tools and sub-agents run concurrently; the next turn waits for all of them.
	private void runPauseToolsAndSubAgents(PeakDayWorkload.Turn turn, Runnable onSuccess, Runnable onFailure) {
		int[] unfinishedSteps = { 1 + turn.tools().size() + turn.subAgents().size() };
		boolean[] isFailed = new boolean[1];
		CompletionListener stepListener = (isComplete) -> {
			isFailed[0] |= !isComplete;
			if (--unfinishedSteps[0] == 0) {
				Runnable continuation = (isFailed[0]) ? onFailure : onSuccess;
				continuation.run();
			}
		};
		this.cluster.timer.schedule(turn.pauseMs(), () -> stepListener.ended(true));
		turn.tools()
			.forEach((tool) -> call(ModelledCluster.SERVICES, List.of(), 0, tool, false,
					(isServed, retryAfterMs) -> stepListener.ended(isServed)));
		turn.subAgents().forEach((turnSequence) -> run(turnSequence, 0, 0, false, stepListener));
	}

	private void call(String service, List<PromptPart> prompt, int tokens, PeakDayWorkload.ToolCall tool,
			boolean isOpening, ResponseListener responseListener) {
		long remainingMs = Math.max(1, Math.round(this.program.objectiveMs() - elapsedMs()));
		RelayedCall relayed = new RelayedCall(service, null, Repeatability.REPEATABLE, true, 1, prompt, tokens * 2,
				tokens, isOpening, "p" + this.program.number(), remainingMs, this.program.kind(), 1,
				(upstream, timeLeftMs, listener) -> this.cluster.send(this.instance, upstream, prompt, tokens,
						tool.workMs(), listener));
		CallRequest request = new CallRequest(new DecisionId("d"), WORKSPACE, KEY, null, 0, "", relayed,
				tool.timeoutMs());
		CallListener listener = new CallListener() {

			@Override
			public void generated(int offset, String text) {
			}

			@Override
			public void completed(CallResult result) {
				respond(true, 0);
			}

			@Override
			public void refused(Refusal refusal) {
				respond(false, (refusal.reason() == RefusalReason.OVERLOADED) ? refusal.retryAfterMs() : 0);
			}

			private void respond(boolean isServed, long retryAfterMs) {
				SimulatedProgram.this.cluster.timer.schedule(SimulatedProgram.this.clientMs,
						() -> responseListener.ended(isServed, retryAfterMs));
			}

		};
		this.cluster.timer.schedule(this.clientMs, () -> this.runner.run(request, listener));
	}

	/** Receives the end of a program or of one of its steps. */
	@FunctionalInterface
	interface CompletionListener {

		void ended(boolean isComplete);

	}

	@FunctionalInterface
	private interface ResponseListener {

		void ended(boolean isServed, long retryAfterMs);

	}

}
