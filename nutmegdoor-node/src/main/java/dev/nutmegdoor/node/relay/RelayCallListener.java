package dev.nutmegdoor.node.relay;

import java.util.concurrent.Executor;

import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.node.entry.ControlBridge;
import dev.nutmegdoor.node.entry.Exchange;

/**
 * Takes the outcome of a relayed call from the scheduler. Called on the control thread.
 */
final class RelayCallListener implements CallListener {

	/**
	 * Time in milliseconds after which a client may come back with a request that was not
	 * run. Another instance, or another replica, usually serves it at once.
	 */
	private static final long RETRY_AFTER_MS = 100;

	private final Exchange exchange;

	private final RelayResponse response;

	private final Executor eventLoop;

	private final ControlBridge control;

	RelayCallListener(Exchange exchange, RelayResponse response, Executor eventLoop, ControlBridge control) {
		this.exchange = exchange;
		this.response = response;
		this.eventLoop = eventLoop;
		this.control = control;
	}

	@Override
	public void generated(int offset, String text) {
		throw new IllegalStateException("a relayed answer does not pass through the scheduler");
	}

	@Override
	public void completed(CallResult result) {
		this.exchange.reservation().settle();
	}

	@Override
	public void refused(Refusal refusal) {
		Refusal alignedRefusal = alignReasonWithRunState(refusal);
		// A cancelled send is ended on the event loop before this task runs there, so
		// that the reservation is settled with everything that was handed out.
		this.eventLoop.execute(() -> {
			this.response.refuse(alignedRefusal);
			this.control.execute(this.exchange.reservation()::settle);
		});
	}

	// To a client, 503 promises that the request did not run, and 502 and 504 promise
	// nothing.
	private static Refusal alignReasonWithRunState(Refusal refusal) {
		boolean isNotRunGuaranteed = refusal.reason().guaranteesNotRun();
		if (refusal.run() == RunState.NOT_RUN && !isNotRunGuaranteed) {
			return Refusal.notRun(RefusalReason.NOT_STARTED, refusal.reason().typeName() + ": " + refusal.detail(),
					RETRY_AFTER_MS);
		}
		if (refusal.run() != RunState.NOT_RUN && isNotRunGuaranteed) {
			return new Refusal(RefusalReason.UPSTREAM_FAILED, refusal.run(), refusal.detail(), 0);
		}
		return refusal;
	}

}
