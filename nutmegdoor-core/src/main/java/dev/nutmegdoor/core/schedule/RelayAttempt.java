package dev.nutmegdoor.core.schedule;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.RelayEnd;
import dev.nutmegdoor.core.call.RelayListener;
import dev.nutmegdoor.core.call.RelayOutcome;
import dev.nutmegdoor.core.call.RelayedCall;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.placement.LoadReport;
import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.placement.PromptPart;
import dev.nutmegdoor.core.placement.Reservation;
import dev.nutmegdoor.core.time.Subscription;
import dev.nutmegdoor.core.time.TimerService;

/**
 * One send of a relayed request to one replica.
 */
final class RelayAttempt implements RelayListener {

	/**
	 * Time in milliseconds after which an engine that has not begun to answer counts as
	 * silent, unless its zone has answered since. Engines begin within 100 ms, loaded
	 * ones mostly within 400 ms.
	 */
	private static final long SILENCE_MS = 400;

	/** Time between further checks in milliseconds. */
	private static final long SILENCE_CHECK_MS = 100;

	private final ScheduledCallRunner runner;

	private final TimerService timer;

	private final QueuedCall call;

	private final RelayedCall payload;

	private final Reservation reservation;

	private @Nullable Subscription deadline;

	private @Nullable CallHandle send;

	private long startedMs;

	private long answerStartedMs;

	private boolean isEnded;

	RelayAttempt(ScheduledCallRunner runner, TimerService timer, QueuedCall call, RelayedCall payload,
			Reservation reservation) {
		this.runner = runner;
		this.timer = timer;
		this.call = call;
		this.payload = payload;
		this.reservation = reservation;
	}

	void start() {
		this.startedMs = this.timer.nowMs();
		long timeLeftMs = Math.max(1, this.call.deadlineMs - this.startedMs);
		this.call.cancellation = this::cancel;
		this.deadline = this.timer.schedule(timeLeftMs, this::expire);
		CallHandle handle = this.payload.relay().send(this.reservation.upstream(), timeLeftMs, this);
		if (!this.isEnded) {
			this.send = handle;
			if (CallCosts.isWithPrompt(this.payload)) {
				this.timer.schedule(SILENCE_MS, this::checkSilence);
			}
		}
	}

	// A request that crosses a cut on a connection made before is never answered. Its
	// client would wait until it gives up; told now, it still has time to repeat it.
	private void checkSilence() {
		if (this.isEnded || this.answerStartedMs > 0) {
			return;
		}
		if (this.runner.index().recordNoResponse(this.reservation, this.startedMs) || !this.payload.isInterruptible()) {
			this.timer.schedule(SILENCE_CHECK_MS, this::checkSilence);
			return;
		}
		cancel();
		this.runner.failed(this.call, this.reservation.upstream(), RunState.UNKNOWN,
				"the zone of the replica does not answer", false);
	}

	@Override
	public void answerStarted(RelayEnd.@Nullable ReportedLoad load) {
		if (this.isEnded) {
			return;
		}
		this.answerStartedMs = this.timer.nowMs();
		this.runner.index().recordAnswerStarted(this.reservation);
		// The header of a stream is old when its last event has come.
		report(load, 0);
		this.runner.reached(Step.STREAM);
	}

	@Override
	public void ended(RelayEnd end) {
		if (this.isEnded) {
			return;
		}
		finish();
		// The answer that carries the report still counts as running.
		report(end.load(), 1);
		if (end.outcome().isSent()) {
			this.call.sends++;
		}
		if (end.outcome() == RelayOutcome.ANSWERED) {
			answered(end);
			return;
		}
		if (end.outcome() == RelayOutcome.NOT_CONNECTED) {
			this.runner.index().recordNoResponse(this.reservation, this.startedMs);
		}
		if (end.outcome().isFailure()) {
			this.runner.index().recordFailure(this.reservation);
		}
		else {
			this.runner.index().release(this.reservation);
		}
		this.runner.failed(this.call, this.reservation.upstream(), end.outcome().run(), end.detail(),
				isRetryable(end.outcome()));
	}

	private void answered(RelayEnd end) {
		double tookMs = this.timer.nowMs() - this.startedMs;
		int promptTokens = PromptPart.tokensOf(this.payload.prompt());
		if (CallCosts.isWithPrompt(this.payload)) {
			PlacementCosts costs = this.runner.costs();
			double stepMs = costs.stepBaseMs()
					+ costs.stepPerCallMs() * this.reservation.upstream().maxConcurrentCalls();
			long decodeFromMs = (this.answerStartedMs > 0) ? this.answerStartedMs : this.timer.nowMs();
			double decodeMs = (double) this.timer.nowMs() - decodeFromMs;
			this.runner.index()
				.recordAnswer(this.reservation, this.payload.prompt(), decodeMs,
						stepMs * Math.max(1, end.generatedTokens() - 1));
		}
		else {
			this.runner.index()
				.recordAnswer(this.reservation, this.payload.prompt(), tookMs,
						Math.max(tookMs, this.runner.settings().serviceCallCostMs()));
		}
		double serviceMs = CallCosts.isWithPrompt(this.payload)
				? this.runner.serviceMs(promptTokens, end.generatedTokens())
				: this.runner.settings().serviceCallCostMs();
		this.runner.completed(this.call, new CallResult(this.reservation.upstream().id(), end.status(), "",
				promptTokens, 0, end.generatedTokens()), serviceMs);
	}

	private void report(RelayEnd.@Nullable ReportedLoad load, int endedCalls) {
		if (load != null) {
			this.runner.index()
				.reportReceived(this.reservation.upstream().id(), LoadReport.ofAnswer(this.timer.nowMs(),
						Math.max(0, load.runningCalls() - endedCalls), load.waitingCalls()));
		}
	}

	private boolean isRetryable(RelayOutcome outcome) {
		if (outcome.run() == RunState.NOT_RUN) {
			return this.call.sends < this.payload.maxReplicas();
		}
		return outcome == RelayOutcome.BROKEN && this.payload.repeatability().isRetryable()
				&& this.call.sends < this.payload.maxReplicas();
	}

	private void expire() {
		if (this.isEnded) {
			return;
		}
		cancel();
		this.runner.expired(this.call, this.payload.minServiceMs());
	}

	private void cancel() {
		if (this.isEnded) {
			return;
		}
		finish();
		this.runner.index().release(this.reservation);
		if (this.send != null) {
			this.send.cancel();
		}
	}

	private void finish() {
		this.isEnded = true;
		if (this.deadline != null) {
			this.deadline.cancel();
		}
	}

}
