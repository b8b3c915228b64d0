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
 * One attempt of a model call on one engine. The text of a repeated attempt has to agree
 * with what the caller already has; only the rest is delivered.
 */
final class ModelAttempt {

	private final ScheduledCallRunner runner;

	private final TimerService timer;

	private final QueuedCall call;

	private final ModelCall payload;

	private final Reservation reservation;

	private final ScoredReplica replica;

	private final String streamId;

	private @Nullable Subscription watchdog;

	private @Nullable Subscription deadline;

	private long firstOutputMs;

	private long lastOutputMs;

	private int tokens;

	private boolean isEnded;

	ModelAttempt(ScheduledCallRunner runner, TimerService timer, QueuedCall call, ModelCall payload,
			Reservation reservation, ScoredReplica replica) {
		this.runner = runner;
		this.timer = timer;
		this.call = call;
		this.payload = payload;
		this.reservation = reservation;
		this.replica = replica;
		this.streamId = call.request.decision().value() + "-" + call.attempts;
	}

	void start() {
		this.call.cancellation = this::cancel;
		long expectedMs = Math.round(this.replica.waitMs() + this.replica.prefillMs());
		arm(expectedMs + this.runner.settings().firstOutputTimeoutMs());
		this.deadline = this.timer.schedule(Math.max(1, this.call.deadlineMs - this.timer.nowMs()), this::expire);
		Upstream source = (this.replica.copyFrom() != null) ? this.runner.index().upstream(this.replica.copyFrom())
				: null;
		ProgramId program = this.call.request.program();
		if (source == null || program == null) {
			generate();
			return;
		}
		// A failed copy only costs the prefill that it was to save.
		this.runner.ports()
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
		this.runner.ports()
			.engines()
			.generate(this.reservation.upstream(), request, this::generated)
			.whenComplete(this::ended);
	}

	private void generated(int offset, String text, int newTokens) {
		if (this.isEnded) {
			return;
		}
		if (this.tokens == 0) {
			this.firstOutputMs = this.timer.nowMs();
			this.reservation.markOutputStarted();
			this.runner.reached(Step.STREAM);
		}
		this.tokens += newTokens;
		this.lastOutputMs = this.timer.nowMs();
		StringBuilder delivered = this.call.delivered;
		int known = Math.min(text.length(), delivered.length() - offset);
		if (known < 0 || !delivered.substring(offset, offset + known).contentEquals(text.substring(0, known))) {
			cancelStream();
			fail(RunState.RAN, "a repeated attempt generated another text", false);
			return;
		}
		if (known < text.length()) {
			int at = delivered.length();
			String rest = text.substring(known);
			delivered.append(rest);
			this.call.listener.generated(at, rest);
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
		end();
		PlacementCosts costs = this.runner.costs();
		double stepMs = costs.stepBaseMs() + costs.stepPerCallMs() * this.reservation.upstream().maxConcurrentCalls();
		double decodeMs = Math.max(0, this.lastOutputMs - this.firstOutputMs);
		int cachedTokens = result.promptTokens() + result.generatedTokens();
		this.runner.index()
			.recordAnswer(this.reservation, List.of(new PromptPart(this.call.owner, cachedTokens)), decodeMs,
					stepMs * Math.max(1, result.generatedTokens() - 1));
		double serviceMs = this.runner.serviceMs(result.promptTokens() - result.cachedTokens(),
				result.generatedTokens());
		this.runner.completed(this.call, new CallResult(this.reservation.upstream().id(), 200, result.text(),
				result.promptTokens(), result.cachedTokens(), result.generatedTokens()), serviceMs);
	}

	private void expire() {
		int prefill = (this.tokens > 0) ? this.payload.promptTokens() : 0;
		cancel();
		this.runner.expired(this.call, this.runner.serviceMs(prefill, this.tokens));
	}

	private void cancel() {
		if (!this.isEnded) {
			cancelStream();
			this.runner.index().release(this.reservation);
		}
	}

	private void arm(long delayMs) {
		this.watchdog = this.timer.schedule(delayMs, () -> {
			long silentMs = this.timer.nowMs() - this.lastOutputMs;
			long allowedMs = this.runner.settings().firstOutputTimeoutMs();
			if (silentMs < allowedMs) {
				arm(allowedMs - silentMs);
				return;
			}
			cancelStream();
			fail(RunState.UNKNOWN, "no output within " + silentMs + " ms", true);
		});
	}

	// Ends the attempt first: the client may fail the stream's future at once.
	private void cancelStream() {
		end();
		this.runner.ports().engines().cancel(this.reservation.upstream(), this.streamId);
	}

	private void fail(RunState run, String message, boolean isRetryable) {
		end();
		this.runner.index().recordFailure(this.reservation);
		this.runner.failed(this.call, this.reservation.upstream(), run, message, isRetryable);
	}

	private void end() {
		this.isEnded = true;
		if (this.watchdog != null) {
			this.watchdog.cancel();
		}
		if (this.deadline != null) {
			this.deadline.cancel();
		}
	}

}
