package dev.nutmegdoor.node.entry;

import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.limit.Admission;
import dev.nutmegdoor.core.limit.RateLimiter;

/**
 * Admits requests within the rate of their workspace and rejects those above it. Requests
 * without a workspace pass.
 */
public final class RateFilter implements RequestFilter {

	private final RateLimiter limiter;

	private final ControlBridge control;

	private final EntryDecisions decisions;

	public RateFilter(RateLimiter limiter, ControlBridge control, EntryDecisions decisions) {
		this.limiter = limiter;
		this.control = control;
		this.decisions = decisions;
	}

	@Override
	public Mono<Void> filter(Exchange exchange) {
		if (exchange.workspaceOrNull() == null) {
			return Mono.empty();
		}
		return this.control
			.call(exchange, () -> this.limiter.admit(exchange.workspace(), exchange.reservation().stage()))
			.flatMap((admission) -> decide(exchange, admission));
	}

	private Mono<Void> decide(Exchange exchange, Admission admission) {
		exchange.admitted(admission);
		this.decisions.recordAdmission(exchange, admission);
		if (admission.isAdmitted()) {
			return Mono.empty();
		}
		return Mono.error(new RefusalException(Refusal.notRun(RefusalReason.RATE_LIMITED,
				"the workspace is above its rate: " + admission.rule(), Math.max(1, admission.retryAfterMs()))));
	}

}
