package dev.nutmegdoor.core.schedule;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.Repeatability;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.placement.Reservation;
import dev.nutmegdoor.core.time.Subscription;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.core.upstream.ServiceResponse;

/**
 * Runs one attempt of a call to a plain service. A slow repeatable call is hedged: it is
 * also sent to a second replica, and the first response with a status below 500 is used.
 */
final class ServiceAttempt {

	private final ScheduledCallRunner runner;

	private final TimerService timer;

	private final QueuedCall call;

	private final ServiceCall payload;

	private final Repeatability repeatability;

	private Subscription hedgeTimer = () -> {
	};

	private int pendingSends;

	private boolean isEnded;

	ServiceAttempt(ScheduledCallRunner runner, TimerService timer, QueuedCall call, ServiceCall payload,
			Repeatability repeatability) {
		this.runner = runner;
		this.timer = timer;
		this.call = call;
		this.payload = payload;
		this.repeatability = repeatability;
	}

	void start(Reservation reservation) {
		if (this.repeatability.isRetryable()) {
			this.call.onCancel = () -> this.isEnded = true;
			this.hedgeTimer = this.timer.schedule(this.runner.settings().hedgeAfterMs(), () -> sendHedge(reservation));
		}
		send(reservation);
	}

	private void send(Reservation reservation) {
		this.pendingSends++;
		long startedMs = this.timer.nowMs();
		long timeoutMs = Math.max(1, this.call.deadlineMs - startedMs);
		this.runner.upstreamClients()
			.services()
			.call(reservation.upstream(), this.payload, timeoutMs)
			.whenComplete((response, failure) -> ended(reservation, startedMs, response, failure));
	}

	private void sendHedge(Reservation original) {
		if (this.isEnded || this.call.isEnded) {
			return;
		}
		this.call.failedReplicas.add(original.upstream().id());
		Reservation hedge = this.runner.reserveForHedge(this.call);
		if (hedge != null) {
			send(hedge);
		}
	}

	private void ended(Reservation reservation, long startedMs, @Nullable ServiceResponse response,
			@Nullable Throwable failure) {
		this.pendingSends--;
		boolean hasDefinitiveResponse = response != null && response.status() < 500;
		if (hasDefinitiveResponse) {
			double durationMs = this.timer.nowMs() - startedMs;
			this.runner.index()
				.recordAnswer(reservation, List.of(), durationMs,
						Math.max(durationMs, this.runner.settings().serviceCallCostMs()));
		}
		else {
			this.runner.index().recordFailure(reservation);
		}
		boolean isAwaitingOtherSend = this.pendingSends > 0 && !hasDefinitiveResponse;
		if (this.isEnded || isAwaitingOtherSend) {
			return;
		}
		this.isEnded = true;
		this.hedgeTimer.cancel();
		if (response != null && (hasDefinitiveResponse || !this.repeatability.isRetryable())) {
			this.runner.completed(this.call,
					new CallResult(reservation.upstream().id(), response.status(), response.body(), 0, 0, 0),
					this.runner.settings().serviceCallCostMs());
			return;
		}
		RunState runState = (response != null) ? RunState.UNKNOWN : UpstreamFailures.runStateOf(failure);
		String message = (response != null) ? "service answered " + response.status()
				: UpstreamFailures.messageOf(failure);
		this.runner.failed(this.call, reservation.upstream(), runState, message,
				this.repeatability.isRetryable() || runState == RunState.NOT_RUN);
	}

}
