package dev.nutmegdoor.node.entry;

import reactor.core.publisher.Flux;
import reactor.core.scheduler.Schedulers;

import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;

/**
 * Starts calls on the control thread and publishes their events on the event loop of the
 * connection. A call is cancelled when its client disconnects.
 */
final class CallExchange {

	private final RunningCalls runningCalls;

	private final ControlBridge control;

	CallExchange(RunningCalls runningCalls, ControlBridge control) {
		this.runningCalls = runningCalls;
		this.control = control;
	}

	Flux<ResponseEvent> run(Exchange exchange, CallRequest request) {
		return Flux.defer(() -> {
			CallResponse callResponse = this.runningCalls.prepare(request);
			this.control.execute(() -> this.runningCalls.start(callResponse));
			return callResponse.events()
				.publishOn(Schedulers.fromExecutor(exchange.channel().eventLoop()), 16)
				.doOnCancel(() -> this.control.execute(() -> callResponse
					.abort(new Refusal(RefusalReason.CANCELLED, RunState.UNKNOWN, "the caller is gone", 0))));
		});
	}

}
