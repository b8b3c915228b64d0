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
 * Holds the tokens of turns in the ledger.
 */
final class BudgetFilter implements RequestFilter {

	/**
	 * Time in milliseconds after which a client may come back while too few replicas of
	 * the ledger are in reach; another instance may reach them.
	 */
	private static final long RETRY_MS = 100;

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
		RequestMetadata facts = routed.facts();
		Long budgetTokens = facts.tokenBudget();
		String program = exchange.programOrNull();
		if (budgetTokens == null || program == null || facts.maxAnswerTokens() == 0
				|| !routed.route().kind().isStream()) {
			return Mono.empty();
		}
		long tokens = tokensOf(routed, facts);
		return this.control
			.call(exchange, () -> this.budgets.reserve(program, tokens, budgetTokens, routed.route().retentionMs()))
			.flatMap((reservation) -> decide(exchange, program, reservation));
	}

	// A resumed stream generates only what the client does not have yet.
	private static long tokensOf(RoutedRequest routed, RequestMetadata facts) {
		long tokensPerEvent = 1;
		for (ServiceShare share : routed.route().shares()) {
			RoutedService service = routed.table().service(share.service());
			tokensPerEvent = Math.max(tokensPerEvent, (service != null) ? service.tokensPerEvent() : 1);
		}
		return Math.max(tokensPerEvent, facts.maxAnswerTokens() - facts.resumeAfterEvent() * tokensPerEvent);
	}

	private Mono<Void> decide(Exchange exchange, String program, TokenReservation reservation) {
		LedgerInputs inputs = reservation.inputs();
		if (reservation.rule() == LedgerRule.GRANTED) {
			exchange.reserved(new Held(program, reservation.tokens(),
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
						+ " replicas of the token ledger are in reach, too few for the budget", RETRY_MS);
		return Mono.error(new RefusalException(refusal));
	}

	private final class Held implements TurnReservation {

		private final String program;

		private final long heldTokens;

		private final RequestStage stage;

		/** Written on the event loop, read on the control thread after the last piece. */
		private final AtomicInteger handedOutTokens = new AtomicInteger();

		private boolean isSettled;

		private Held(String program, long heldTokens, RequestStage stage) {
			this.program = program;
			this.heldTokens = heldTokens;
			this.stage = stage;
		}

		@Override
		public RequestStage stage() {
			return this.stage;
		}

		@Override
		public void tokensDelivered(int tokens) {
			this.handedOutTokens.addAndGet(tokens);
		}

		@Override
		public void settle() {
			if (!this.isSettled) {
				this.isSettled = true;
				BudgetFilter.this.budgets.release(this.program, this.heldTokens - this.handedOutTokens.get());
			}
		}

	}

}
