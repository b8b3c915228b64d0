package dev.nutmegdoor.node.entry;

import com.codahale.metrics.MetricRegistry;
import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Responds to requests that failed or were refused, and records the reason.
 */
public final class ErrorResponses {

	private final HttpResponses responses;

	private final EntryDecisions decisions;

	private final MetricRegistry metrics;

	private final EventLog eventLog;

	public ErrorResponses(HttpResponses responses, EntryDecisions decisions, MetricRegistry metrics,
			EventLog eventLog) {
		this.responses = responses;
		this.decisions = decisions;
		this.metrics = metrics;
		this.eventLog = eventLog;
	}

	/**
	 * Records an error and responds with problem details.
	 * @param exchange request that failed
	 * @param error a {@link RefusalException}, or an unexpected failure, which is
	 * reported as an internal error
	 * @return completes after the response; fails with the error if a response had
	 * already begun
	 */
	public Mono<Void> respond(Exchange exchange, Throwable error) {
		Refusal refusal = refusalOf(exchange, error);
		this.metrics.counter("entry.refused." + refusal.reason().typeName()).inc();
		WorkspaceId workspace = exchange.workspaceOrNull();
		RoutedRequest routed = exchange.routedOrNull();
		this.decisions.recordRefusal(exchange, refusal);
		this.eventLog.record("request.refused", "decision", exchange.decision(), "attempt",
				(routed != null) ? routed.attemptId() : "-", "workspace", (workspace != null) ? workspace : "-",
				"reason", refusal.reason().typeName(), "run", refusal.run().wireName(), "retryAfterMs",
				refusal.retryAfterMs(), "elapsedMs", exchange.elapsedMs(), "detail", refusal.detail());
		if (exchange.isAnswered()) {
			return Mono.error(error);
		}
		return this.responses.problem(exchange, refusal);
	}

	private Refusal refusalOf(Exchange exchange, Throwable error) {
		if (error instanceof RefusalException refused) {
			return refused.refusal();
		}
		this.eventLog.record("request.failed", "decision", exchange.decision(), "error", error);
		return new Refusal(RefusalReason.INTERNAL, RunState.UNKNOWN, "the request failed inside the scheduler", 0);
	}

}
