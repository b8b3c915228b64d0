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
import dev.nutmegdoor.core.upstream.ServiceAnswer;

/**
 * One attempt of a call of a plain service. A repeatable call that takes long is sent a
 * second time to another replica; the first answer counts.
 */
final class ServiceAttempt {

	private final ScheduledCallRunner runner;

	private final TimerService timer;

	private final QueuedCall call;

	private final ServiceCall payload;

	private final Repeatability repeatability;

	private Subscription hedge = () -> {
	};

	private int open;

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
			this.call.cancellation = () -> this.isEnded = true;
			this.hedge = this.timer.schedule(this.runner.settings().hedgeAfterMs(), () -> hedge(reservation));
		}
		send(reservation);
	}

	private void send(Reservation reservation) {
		this.open++;
		long startedMs = this.timer.nowMs();
		long timeoutMs = Math.max(1, this.call.deadlineMs - startedMs);
		this.runner.ports()
			.services()
			.call(reservation.upstream(), this.payload, timeoutMs)
			.whenComplete((answer, failure) -> ended(reservation, startedMs, answer, failure));
	}

	private void hedge(Reservation first) {
		if (this.isEnded || this.call.isEnded) {
			return;
		}
		this.call.failedReplicas.add(first.upstream().id());
		Reservation second = this.runner.reserveForHedge(this.call);
		if (second != null) {
			send(second);
		}
	}

	private void ended(Reservation reservation, long startedMs, @Nullable ServiceAnswer answer,
			@Nullable Throwable failure) {
		this.open--;
		boolean isAnswered = answer != null && answer.status() < 500;
		if (isAnswered) {
			double tookMs = this.timer.nowMs() - startedMs;
			this.runner.index()
				.recordAnswer(reservation, List.of(), tookMs,
						Math.max(tookMs, this.runner.settings().serviceCallCostMs()));
		}
		else {
			this.runner.index().recordFailure(reservation);
		}
		boolean isOtherOpen = this.open > 0 && !isAnswered;
		if (this.isEnded || isOtherOpen) {
			return;
		}
		this.isEnded = true;
		this.hedge.cancel();
		if (answer != null && (isAnswered || !this.repeatability.isRetryable())) {
			this.runner.completed(this.call,
					new CallResult(reservation.upstream().id(), answer.status(), answer.body(), 0, 0, 0),
					this.runner.settings().serviceCallCostMs());
			return;
		}
		RunState run = (answer != null) ? RunState.UNKNOWN : UpstreamFailures.runStateOf(failure);
		String message = (answer != null) ? "service answered " + answer.status() : UpstreamFailures.messageOf(failure);
		this.runner.failed(this.call, reservation.upstream(), run, message,
				this.repeatability.isRetryable() || run == RunState.NOT_RUN);
	}

}
