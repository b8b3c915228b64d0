package dev.nutmegdoor.node.relay;

import java.util.concurrent.atomic.AtomicInteger;

import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.ledger.LedgerInputs;
import dev.nutmegdoor.core.ledger.LedgerRule;
import dev.nutmegdoor.core.ledger.TokenBudgets;
import dev.nutmegdoor.core.ledger.TokenReservation;
import dev.nutmegdoor.core.limit.RequestStage;
import dev.nutmegdoor.core.route.RequestMetadata;
import dev.nutmegdoor.core.route.RoutedService;
import dev.nutmegdoor.core.route.ServiceShare;
import dev.nutmegdoor.node.entry.ControlBridge;
import dev.nutmegdoor.node.entry.Exchange;
import dev.nutmegdoor.node.entry.RefusalException;
import dev.nutmegdoor.node.entry.RequestFilter;
import dev.nutmegdoor.node.entry.RoutedRequest;
import dev.nutmegdoor.node.entry.TurnReservation;

/**
 * Reserves the tokens of a turn in the token ledger and rejects the turn if the budget of
 * its program is exhausted or too few replicas of the ledger respond.
 */
final class BudgetFilter implements RequestFilter {

	/**
	 * Time in milliseconds after which a client may retry while too few replicas of the
	 * ledger are reachable; another instance may reach them.
	 */
	private static final long RETRY_AFTER_MS = 100;

	private final TokenBudgets budgets;

	private final ControlBridge control;

	private final EventLog events;

	BudgetFilter(TokenBudgets budgets, ControlBridge control, EventLog events) {
		this.budgets = budgets;
		this.control = control;
		this.events = events;
	}

	@Override
	public Mono<Void> filter(Exchange exchange) {
		RoutedRequest routed = exchange.routed();
		RequestMetadata metadata = routed.facts();
		Long budgetTokens = metadata.tokenBudget();
		String program = exchange.programOrNull();
		if (budgetTokens == null || program == null || metadata.maxAnswerTokens() == 0
				|| !routed.route().kind().isStream()) {
			return Mono.empty();
		}
		long requestedTokens = tokensToReserve(routed, metadata);
		return this.control
			.call(exchange,
					() -> this.budgets.reserve(program, requestedTokens, budgetTokens, routed.route().retentionMs()))
			.flatMap((reservation) -> decide(exchange, program, reservation));
	}

	// A resumed stream generates only the events that the client has not received.
	private static long tokensToReserve(RoutedRequest routed, RequestMetadata metadata) {
		long tokensPerEvent = 1;
		for (ServiceShare share : routed.route().shares()) {
			RoutedService service = routed.table().service(share.service());
			tokensPerEvent = Math.max(tokensPerEvent, (service != null) ? service.tokensPerEvent() : 1);
		}
		return Math.max(tokensPerEvent, metadata.maxAnswerTokens() - metadata.resumeAfterEvent() * tokensPerEvent);
	}

	private Mono<Void> decide(Exchange exchange, String program, TokenReservation reservation) {
		LedgerInputs inputs = reservation.inputs();
		if (reservation.rule() == LedgerRule.GRANTED) {
			exchange.reserved(new LedgerTurnReservation(program, reservation.tokens(),
					reservation.isFirst() ? RequestStage.OPENING : RequestStage.CONTINUING));
			return Mono.empty();
		}
		this.events.record("budget.refused", "attempt", exchange.routed().attemptId(), "program", program, "rule",
				reservation.rule(), "budget", inputs.budgetTokens(), "charged", inputs.chargedTokens(), "replicas",
				inputs.members(), "answers", inputs.answers());
		Refusal refusal = (reservation.rule() == LedgerRule.SPENT)
				? Refusal.notRun(RefusalReason.BUDGET_EXHAUSTED,
						inputs.chargedTokens() + " of " + inputs.budgetTokens() + " tokens would be used", 0)
				: Refusal.notRun(RefusalReason.NOT_STARTED, inputs.answers() + " of " + inputs.members()
						+ " replicas of the token ledger are in reach, too few for the budget", RETRY_AFTER_MS);
		return Mono.error(new RefusalException(refusal));
	}

	private final class LedgerTurnReservation implements TurnReservation {

		private final String program;

		private final long reservedTokens;

		private final RequestStage stage;

		/** Written on the event loop, read on the control thread after the last chunk. */
		private final AtomicInteger deliveredTokens = new AtomicInteger();

		private boolean isSettled;

		private LedgerTurnReservation(String program, long reservedTokens, RequestStage stage) {
			this.program = program;
			this.reservedTokens = reservedTokens;
			this.stage = stage;
		}

		@Override
		public RequestStage stage() {
			return this.stage;
		}

		@Override
		public void tokensDelivered(int tokens) {
			this.deliveredTokens.addAndGet(tokens);
		}

		@Override
		public void settle() {
			if (!this.isSettled) {
				this.isSettled = true;
				BudgetFilter.this.budgets.release(this.program, this.reservedTokens - this.deliveredTokens.get());
			}
		}

	}

}
