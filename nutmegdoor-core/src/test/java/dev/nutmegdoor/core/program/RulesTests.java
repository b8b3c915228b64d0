package dev.nutmegdoor.core.program;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.call.AtMostOnceState;
import dev.nutmegdoor.core.configuration.ProgramBudget;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RulesTests {

	@Nested
	class Order {

		private OrderDecision decide(int turn, int completedTurns, int runningTurn, boolean isKnown,
				boolean isSameRequest, long waitedMs) {
			return OrderRule.decide(
					new OrderInputs(turn, completedTurns, runningTurn, isKnown, isSameRequest, waitedMs, 100, false));
		}

		// Guards against a turn that runs twice because the caller has resent it.
		@Test
		void attachesADuplicateToTheRunningCallOrReplaysTheResponse() {
			assertThat(decide(2, 1, 2, true, true, 0), is(OrderDecision.ATTACH));
			assertThat(decide(1, 1, 0, true, true, 0), is(OrderDecision.STORED));
		}

		// Guards against a caller that receives the response to a different request
		// because it reused a turn number.
		@Test
		void rejectsATurnNumberThatWasUsedForAnotherRequest() {
			assertThat(decide(1, 1, 0, true, false, 0), is(OrderDecision.REFUSE_REUSED));
		}

		// Guards against a call that waits forever for a turn that was never received.
		@Test
		void delaysAnEarlyCallForABoundedTime() {
			assertThat(decide(3, 1, 0, false, false, 99), is(OrderDecision.WAIT));
			assertThat(decide(3, 1, 0, false, false, 100), is(OrderDecision.REFUSE_EARLY));
		}

	}

	@Nested
	class Budget {

		// Guards against concurrent calls that together exceed the budget because tokens
		// count only after their responses are recorded.
		@Test
		void countsReservedTokens() {
			ProgramBudget budget = new ProgramBudget(100, 2, 1_000, 1);
			assertThat(BudgetRule.decide(new BudgetInputs(budget, 60, 0, 0, 41, 1, 0)),
					is(BudgetDecision.TOKENS_EXHAUSTED));
			assertThat(BudgetRule.decide(new BudgetInputs(budget, 60, 0, 0, 40, 1, 0)), is(BudgetDecision.GRANTED));
			assertThat(BudgetRule.decide(new BudgetInputs(budget, 0, 2, 0, 0, 1, 0)),
					is(BudgetDecision.CALLS_EXHAUSTED));
		}

	}

	@Nested
	class AtMostOnce {

		private AtMostOnceDecision decide(AtMostOnceState state, boolean isSameRequest, long ageMs) {
			return AtMostOnceRule.decide(new AtMostOnceInputs(state, isSameRequest, false, ageMs, 1_000, 10));
		}

		// Guards against an operation, such as a payment, that runs twice because it was
		// resent after an unknown outcome.
		@Test
		void neverResendsAnOperationWithUnknownOutcome() {
			assertThat(decide(AtMostOnceState.UNKNOWN, true, 0), is(AtMostOnceDecision.REFUSE_UNKNOWN));
			assertThat(decide(AtMostOnceState.INTENDED, true, 0), is(AtMostOnceDecision.REFUSE_UNKNOWN));
			assertThat(decide(AtMostOnceState.NOT_SENT, true, 0), is(AtMostOnceDecision.SEND));
		}

		// Guards against an operation that runs again because the record of its key has
		// been removed meanwhile.
		@Test
		void rejectsKeysOutsideTheRetentionTime() {
			assertThat(decide(null, false, 1_001), is(AtMostOnceDecision.REFUSE_EXPIRED));
			assertThat(decide(null, false, -11), is(AtMostOnceDecision.REFUSE_MALFORMED));
		}

		// Guards against a caller that receives the response to a different request
		// because it reused an idempotency key.
		@Test
		void rejectsAKeyThatWasUsedForAnotherRequest() {
			assertThat(decide(AtMostOnceState.SETTLED, false, 0), is(AtMostOnceDecision.REFUSE_REUSED));
		}

	}

}
