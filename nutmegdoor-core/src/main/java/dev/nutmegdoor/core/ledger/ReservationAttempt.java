package dev.nutmegdoor.core.ledger;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.invariant.Invariant;

/**
 * One reservation of tokens until it is decided: asks all replicas, and those out of
 * reach through other instances as well.
 */
final class ReservationAttempt {

	private final CompletableFuture<TokenReservation> result = new CompletableFuture<>();

	private final LedgerDependencies dependencies;

	private final TokenBudgets budgets;

	private final String program;

	private final long tokens;

	private final long budgetTokens;

	private int asked;

	private int answers;

	private int failures;

	private int waitedFor;

	private boolean isGraceStarted;

	ReservationAttempt(LedgerDependencies dependencies, TokenBudgets budgets, String program, long tokens,
			long budgetTokens) {
		this.dependencies = dependencies;
		this.budgets = budgets;
		this.program = program;
		this.tokens = tokens;
		this.budgetTokens = budgetTokens;
	}

	CompletableFuture<TokenReservation> result() {
		return this.result;
	}

	void send(LedgerEntry entry) {
		List<LedgerMember> receivers = List.copyOf(this.dependencies.members().all());
		this.asked = receivers.size();
		LedgerReserve message = new LedgerReserve(entry);
		List<InstanceId> peers = receivers.stream()
			.allMatch((member) -> this.dependencies.members().isReachable(member.id())) ? List.of()
					: this.dependencies.proxies().reachable();
		int nextPeer = 0;
		for (LedgerMember member : receivers) {
			// An unreachable replica is asked, but not waited for; others may reach
			// it.
			boolean isReachable = this.dependencies.members().isReachable(member.id());
			this.waitedFor += isReachable ? 1 : 0;
			Question question = new Question(member.id(), isReachable);
			question.ask(this.dependencies.transport()
				.request(member.id(), message, LedgerAnswer.class, this.dependencies.settings().answerTimeoutMs()),
					false);
			if (!isReachable && !peers.isEmpty()) {
				InstanceId peer = peers.get(nextPeer++ % peers.size());
				question.ask(this.dependencies.transport()
					.request(peer, new LedgerProxyReserve(member.id(), message), LedgerAnswer.class,
							this.dependencies.settings().answerTimeoutMs()),
						true);
			}
		}
		if (receivers.isEmpty()) {
			finish(LedgerRule.UNDECIDED);
		}
		else {
			decide();
		}
	}

	private void answered(boolean isWaitedFor, LedgerAnswer answer) {
		long nowMs = this.dependencies.timer().nowMs();
		answer.entries().forEach((entry) -> this.budgets.table().merge(entry, nowMs));
		this.budgets.learn(answer.members());
		this.answers++;
		this.waitedFor -= isWaitedFor ? 1 : 0;
		decide();
	}

	private void failed(boolean isWaitedFor) {
		this.failures++;
		this.waitedFor -= isWaitedFor ? 1 : 0;
		decide();
	}

	private void decide() {
		if (this.result.isDone()) {
			return;
		}
		boolean areAllHeard = this.answers + this.failures >= this.asked;
		LedgerRule rule = LedgerRule.decide(inputs(areAllHeard));
		if (rule == LedgerRule.GRANTED || rule == LedgerRule.SPENT || areAllHeard) {
			finish(rule);
		}
		else if (this.waitedFor <= 0 && !this.isGraceStarted) {
			// A replica that was out of reach may answer again, or through a peer.
			this.isGraceStarted = true;
			this.dependencies.timer().schedule(this.dependencies.settings().unreachableGraceMs(), () -> {
				if (!this.result.isDone()) {
					finish(LedgerRule.decide(inputs(true)));
				}
			});
		}
	}

	private void finish(LedgerRule rule) {
		LedgerInputs inputs = inputs(true);
		if (rule == LedgerRule.GRANTED) {
			this.dependencies.invariants()
				.check(Invariant.BUDGET, inputs.chargedTokens() <= this.budgetTokens + this.tokens, () -> "program "
						+ this.program + " is charged " + inputs.chargedTokens() + " of " + this.budgetTokens);
		}
		else {
			this.budgets.release(this.program, this.tokens);
		}
		this.result.complete(new TokenReservation(rule, inputs, (rule == LedgerRule.GRANTED) ? this.tokens : 0,
				this.budgets.isFirstReservation(this.program, this.tokens)));
	}

	private LedgerInputs inputs(boolean isFinal) {
		return new LedgerInputs(this.budgetTokens, this.budgets.table().charged(this.program), this.tokens,
				this.dependencies.members().size(), this.answers, isFinal);
	}

	/**
	 * The question to one replica, directly and perhaps through a peer.
	 */
	private final class Question {

		private final InstanceId replica;

		private final boolean isWaitedFor;

		private int open;

		private boolean isAnswered;

		private Question(InstanceId replica, boolean isWaitedFor) {
			this.replica = replica;
			this.isWaitedFor = isWaitedFor;
		}

		private void ask(CompletableFuture<LedgerAnswer> future, boolean isThroughPeer) {
			this.open++;
			future.whenComplete((answer, error) -> {
				this.open--;
				if (!isThroughPeer) {
					noteReachability(error);
				}
				if (error == null && !this.isAnswered) {
					this.isAnswered = true;
					answered(this.isWaitedFor, answer);
				}
				else if (error != null && !this.isAnswered && this.open == 0) {
					failed(this.isWaitedFor);
				}
			});
		}

		private void noteReachability(@Nullable Throwable error) {
			LedgerDependencies known = ReservationAttempt.this.dependencies;
			known.members().noteOutcome(this.replica, error, known.timer().nowMs(), known.events());
		}

	}

}
