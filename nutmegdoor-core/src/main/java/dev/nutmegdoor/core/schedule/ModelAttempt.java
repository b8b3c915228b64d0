package dev.nutmegdoor.core.schedule;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.placement.PromptPart;
import dev.nutmegdoor.core.placement.Reservation;
import dev.nutmegdoor.core.placement.ScoredReplica;
import dev.nutmegdoor.core.time.Subscription;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;

/**
 * Runs one attempt of a model call on one engine. The text of a retry must begin with the
 * text that an earlier attempt delivered to the caller; only the remainder is delivered.
 */
final class ModelAttempt {

	private final ScheduledCallRunner runner;

	private final TimerService timer;

	private final QueuedCall call;

	private final ModelCall payload;

	private final Reservation reservation;

	private final ScoredReplica replica;

	private final String streamId;

	private @Nullable Subscription watchdogTimer;

	private @Nullable Subscription deadlineTimer;

	private long firstOutputMs;

	private long lastOutputMs;

	private int generatedTokens;

	private boolean isEnded;

	ModelAttempt(ScheduledCallRunner runner, TimerService timer, QueuedCall call, ModelCall payload,
			Reservation reservation, ScoredReplica replica) {
		this.runner = runner;
		this.timer = timer;
		this.call = call;
		this.payload = payload;
		this.reservation = reservation;
		this.replica = replica;
		this.streamId = call.request.decision().value() + "-" + call.attemptCount;
	}

	void start() {
		this.call.onCancel = this::cancel;
		long expectedMs = Math.round(this.replica.waitMs() + this.replica.prefillMs());
		scheduleWatchdog(expectedMs + this.runner.settings().firstOutputTimeoutMs());
		this.deadlineTimer = this.timer.schedule(Math.max(1, this.call.deadlineMs - this.timer.nowMs()), this::expire);
		Upstream source = (this.replica.copyFrom() != null) ? this.runner.index().upstream(this.replica.copyFrom())
				: null;
		ProgramId program = this.call.request.program();
		if (source == null || program == null) {
			generate();
			return;
		}
		// If the copy fails, the engine prefills the prompt itself.
		this.runner.upstreamClients()
			.engines()
			.copyCache(source, this.reservation.upstream(), program)
			.whenComplete((copied, failure) -> generate());
	}

	private void generate() {
		if (this.isEnded) {
			return;
		}
		this.lastOutputMs = this.timer.nowMs();
		EngineRequest request = new EngineRequest(this.streamId, this.payload.model(), this.call.request.program(),
				this.payload.messagesJson(), this.call.prefixHashes, this.payload.promptTokens(),
				this.payload.maxTokens(), this.call.priority);
		this.runner.upstreamClients()
			.engines()
			.generate(this.reservation.upstream(), request, this::generated)
			.whenComplete(this::ended);
	}

	private void generated(int offset, String text, int newTokens) {
		if (this.isEnded) {
			return;
		}
		if (this.generatedTokens == 0) {
			this.firstOutputMs = this.timer.nowMs();
			this.reservation.markOutputStarted();
			this.runner.reached(Step.STREAM);
		}
		this.generatedTokens += newTokens;
		this.lastOutputMs = this.timer.nowMs();
		StringBuilder delivered = this.call.deliveredText;
		int overlapLength = Math.min(text.length(), delivered.length() - offset);
		if (overlapLength < 0 || !delivered.substring(offset, offset + overlapLength)
			.contentEquals(text.substring(0, overlapLength))) {
			cancelStream();
			fail(RunState.RAN, "a repeated attempt generated another text", false);
			return;
		}
		if (overlapLength < text.length()) {
			int restOffset = delivered.length();
			String rest = text.substring(overlapLength);
			delivered.append(rest);
			this.call.listener.generated(restOffset, rest);
		}
	}

	private void ended(@Nullable EngineResult result, @Nullable Throwable failure) {
		if (this.isEnded) {
			return;
		}
		if (result == null) {
			fail(UpstreamFailures.runStateOf(failure), UpstreamFailures.messageOf(failure), true);
			return;
		}
		finish();
		PlacementCosts costs = this.runner.costs();
		double stepMs = costs.stepBaseMs() + costs.stepPerCallMs() * this.reservation.upstream().maxConcurrentCalls();
		double decodeMs = Math.max(0, this.lastOutputMs - this.firstOutputMs);
		int cachedTokens = result.promptTokens() + result.generatedTokens();
		this.runner.index()
			.recordAnswer(this.reservation, List.of(new PromptPart(this.call.promptOwner, cachedTokens)), decodeMs,
					stepMs * Math.max(1, result.generatedTokens() - 1));
		double serviceMs = this.runner.serviceMs(result.promptTokens() - result.cachedTokens(),
				result.generatedTokens());
		this.runner.completed(this.call, new CallResult(this.reservation.upstream().id(), 200, result.text(),
				result.promptTokens(), result.cachedTokens(), result.generatedTokens()), serviceMs);
	}

	private void expire() {
		int prefilledTokens = (this.generatedTokens > 0) ? this.payload.promptTokens() : 0;
		cancel();
		this.runner.expired(this.call, this.runner.serviceMs(prefilledTokens, this.generatedTokens));
	}

	private void cancel() {
		if (!this.isEnded) {
			cancelStream();
			this.runner.index().release(this.reservation);
		}
	}

	private void scheduleWatchdog(long delayMs) {
		this.watchdogTimer = this.timer.schedule(delayMs, () -> {
			long idleMs = this.timer.nowMs() - this.lastOutputMs;
			long outputTimeoutMs = this.runner.settings().firstOutputTimeoutMs();
			if (idleMs < outputTimeoutMs) {
				scheduleWatchdog(outputTimeoutMs - idleMs);
				return;
			}
			cancelStream();
			fail(RunState.UNKNOWN, "no output within " + idleMs + " ms", true);
		});
	}

	// Marks the attempt as ended before cancelling, because the client may fail the
	// future of the stream from within the call.
	private void cancelStream() {
		finish();
		this.runner.upstreamClients().engines().cancel(this.reservation.upstream(), this.streamId);
	}

	private void fail(RunState runState, String message, boolean isRetryable) {
		finish();
		this.runner.index().recordFailure(this.reservation);
		this.runner.failed(this.call, this.reservation.upstream(), runState, message, isRetryable);
	}

	private void finish() {
		this.isEnded = true;
		if (this.watchdogTimer != null) {
			this.watchdogTimer.cancel();
		}
		if (this.deadlineTimer != null) {
			this.deadlineTimer.cancel();
		}
	}

}
