package dev.nutmegdoor.core.schedule;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.RelayCancellation;
import dev.nutmegdoor.core.call.RelayEnd;
import dev.nutmegdoor.core.call.RelayHandle;
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
 * Sends a relayed request to one replica and reports the outcome to the runner.
 */
final class RelayAttempt implements RelayListener {

	/**
	 * Time in milliseconds after which an engine that has not started its response is
	 * treated as unresponsive, unless its zone has responded to another call since.
	 * Engines start within 100 ms, loaded ones mostly within 400 ms.
	 */
	private static final long UNRESPONSIVE_AFTER_MS = 400;

	/** Period of the checks after the first one, in milliseconds. */
	private static final long RESPONSE_CHECK_PERIOD_MS = 100;

	/**
	 * Time in milliseconds after a send for which its silence is evidence about the zone.
	 * A call whose connection was lost in a partition stays silent after the partition.
	 */
	private static final long SILENCE_EVIDENCE_MS = 1_500;

	private final ScheduledCallRunner runner;

	private final TimerService timer;

	private final QueuedCall call;

	private final RelayedCall payload;

	private final Reservation reservation;

	private @Nullable Subscription deadlineTimer;

	private @Nullable RelayHandle sendHandle;

	private long startedMs;

	private long responseStartedMs;

	private int runningCalls;

	private boolean isRateDeclared;

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
		long remainingMs = Math.max(1, this.call.deadlineMs - this.startedMs);
		this.call.onCancel = () -> cancel(RelayCancellation.CALLER_LEFT);
		this.deadlineTimer = this.timer.schedule(remainingMs, this::expire);
		RelayHandle handle = this.payload.relay().send(this.reservation.upstream(), remainingMs, this);
		if (!this.isEnded) {
			this.sendHandle = handle;
			if (CallCosts.isModelRequest(this.payload)) {
				this.timer.schedule(UNRESPONSIVE_AFTER_MS, this::checkResponsiveness);
			}
		}
	}

	// Silence only steers calls that are placed later. It does not prove that this call
	// is lost: a replica may pause, and its response may already be on the event loop.
	private void checkResponsiveness() {
		boolean isRecent = this.timer.nowMs() - this.startedMs < SILENCE_EVIDENCE_MS;
		if (!this.isEnded && this.responseStartedMs == 0 && isRecent) {
			this.runner.index().recordNoResponse(this.reservation, this.startedMs);
			this.timer.schedule(RESPONSE_CHECK_PERIOD_MS, this::checkResponsiveness);
		}
	}

	@Override
	public void rateDeclared(double requestsPerSecond) {
		this.isRateDeclared = true;
		this.runner.index().rateDeclared(this.reservation.upstream().id(), requestsPerSecond);
	}

	@Override
	public void coldStated(long coldMs) {
		this.runner.index().coldStated(this.reservation.upstream().id(), coldMs, this.startedMs);
	}

	private void endUndeclaredRate() {
		if (!this.isRateDeclared) {
			this.runner.index().rateNotDeclared(this.reservation.upstream().id(), this.startedMs);
		}
	}

	@Override
	public void answerStarted(RelayEnd.@Nullable ReportedLoad load) {
		if (this.isEnded) {
			return;
		}
		this.responseStartedMs = this.timer.nowMs();
		this.runner.index().recordAnswerStarted(this.reservation);
		endUndeclaredRate();
		if (load != null) {
			this.runningCalls = load.runningCalls();
		}
		if (load != null && load.waitingCalls() == 0 && CallCosts.isModelRequest(this.payload)) {
			this.runner.index().recordPrefill(this.reservation, (double) this.responseStartedMs - this.startedMs);
		}
		// The load in the header describes the start of the stream and is outdated when
		// the stream ends, so it is recorded here.
		recordLoad(load, 0);
		this.runner.reached(Step.STREAM);
	}

	@Override
	public void ended(RelayEnd end) {
		if (this.isEnded) {
			return;
		}
		finish();
		if (end.outcome() == RelayOutcome.ANSWERED || end.outcome() == RelayOutcome.DECLINED) {
			endUndeclaredRate();
		}
		// The replica counts the call that carries this report as still running.
		recordLoad(end.load(), 1);
		if (end.outcome().isSent()) {
			this.call.sendCount++;
		}
		if (end.outcome() == RelayOutcome.ANSWERED) {
			handleResponse(end);
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

	private void handleResponse(RelayEnd end) {
		double durationMs = this.timer.nowMs() - this.startedMs;
		int promptTokens = PromptPart.tokensOf(this.payload.prompt());
		if (CallCosts.isModelRequest(this.payload)) {
			PlacementCosts costs = this.runner.costs();
			double stepMs = costs.stepBaseMs()
					+ costs.stepPerCallMs() * this.reservation.upstream().maxConcurrentCalls();
			long decodeStartedMs = (this.responseStartedMs > 0) ? this.responseStartedMs : this.timer.nowMs();
			double decodeMs = (double) this.timer.nowMs() - decodeStartedMs;
			int tokens = Math.max(1, end.generatedTokens() - 1);
			if (this.responseStartedMs > 0 && isSuccess(end.status())) {
				this.runner.index().recordGeneration(this.reservation, decodeMs, tokens, this.runningCalls);
			}
			this.runner.index().recordAnswer(this.reservation, this.payload.prompt(), decodeMs, stepMs * tokens);
		}
		else {
			if (isSuccess(end.status())) {
				this.runner.index().recordServiceCall(this.reservation, durationMs);
			}
			this.runner.index()
				.recordAnswer(this.reservation, this.payload.prompt(), durationMs,
						Math.max(durationMs, this.runner.settings().serviceCallCostMs()));
		}
		double serviceMs = CallCosts.isModelRequest(this.payload)
				? this.runner.serviceMs(promptTokens, end.generatedTokens())
				: this.runner.settings().serviceCallCostMs();
		this.runner.completed(this.call, new CallResult(this.reservation.upstream().id(), end.status(), "",
				promptTokens, 0, end.generatedTokens()), serviceMs);
	}

	private void recordLoad(RelayEnd.@Nullable ReportedLoad load, int endedCallCount) {
		if (load != null) {
			this.runner.index()
				.reportReceived(
						this.reservation.upstream().id(), LoadReport.ofAnswer(this.timer.nowMs(),
								Math.max(0, load.runningCalls() - endedCallCount), load.waitingCalls()),
						load.workPercent());
		}
	}

	// The time of an error says nothing about the time of work.
	private static boolean isSuccess(int status) {
		return status / 100 == 2;
	}

	private boolean isRetryable(RelayOutcome outcome) {
		if (outcome == RelayOutcome.WITHHELD) {
			return false;
		}
		if (outcome.run() == RunState.NOT_RUN) {
			return this.call.sendCount < this.payload.maxReplicas();
		}
		return outcome == RelayOutcome.BROKEN && this.payload.repeatability().isRetryable()
				&& this.call.sendCount < this.payload.maxReplicas();
	}

	private void expire() {
		if (this.isEnded) {
			return;
		}
		cancel(RelayCancellation.DEADLINE);
		this.runner.expired(this.call, this.payload.minServiceMs());
	}

	private void cancel(RelayCancellation reason) {
		if (this.isEnded) {
			return;
		}
		finish();
		this.runner.index().releaseCancelled(this.reservation);
		if (this.sendHandle != null) {
			this.sendHandle.cancel(reason);
		}
	}

	private void finish() {
		this.isEnded = true;
		if (this.deadlineTimer != null) {
			this.deadlineTimer.cancel();
		}
	}

}
