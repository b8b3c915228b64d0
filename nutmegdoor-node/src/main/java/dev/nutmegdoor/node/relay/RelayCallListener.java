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
 * Forwards the outcome of a relayed call from the scheduler to the client and settles the
 * reservation of its tokens. Called on the control thread.
 */
final class RelayCallListener implements CallListener {

	/**
	 * Time in milliseconds after which a client may retry a request that was not run.
	 * Another instance or replica can usually serve it immediately.
	 */
	static final long RETRY_AFTER_MS = 100;

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
		throw new IllegalStateException("the text of a relayed response must not pass through the scheduler");
	}

	@Override
	public void completed(CallResult result) {
		this.exchange.reservation().settle();
	}

	@Override
	public void refused(Refusal refusal) {
		Refusal alignedRefusal = alignReasonWithRunState(refusal);
		// A cancelled send ends on the event loop before this task runs there, so the
		// reservation is settled with all tokens that were forwarded.
		this.eventLoop.execute(() -> {
			this.response.refuse(alignedRefusal);
			this.control.execute(this.exchange.reservation()::settle);
		});
	}

	// Status 503 guarantees to the client that the request did not run; 502 and 504
	// guarantee nothing.
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
