package dev.nutmegdoor.core.ledger;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.invariant.Invariant;

/**
 * Reserves tokens for one turn. Sends the reservation to all replicas, to unreachable
 * ones also through other instances, and completes when the replies suffice for a
 * decision.
 */
final class ReservationAttempt {

	private final CompletableFuture<TokenReservation> result = new CompletableFuture<>();

	private final LedgerDependencies dependencies;

	private final TokenBudgets budgets;

	private final String program;

	private final long tokens;

	private final long budgetTokens;

	private int requestedReplicas;

	private int answerCount;

	private int failureCount;

	private int pendingReachable;

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
		this.requestedReplicas = receivers.size();
		LedgerReserve message = new LedgerReserve(entry, this.dependencies.members().fingerprint());
		List<InstanceId> proxies = receivers.stream()
			.allMatch((member) -> this.dependencies.members().isReachable(member.id())) ? List.of()
					: this.dependencies.proxies().reachable();
		int nextProxyIndex = 0;
		for (LedgerMember member : receivers) {
			// The reservation is also sent to an unreachable replica, but the decision
			// does not wait for its reply. Another instance may be able to reach it.
			boolean isReachable = this.dependencies.members().isReachable(member.id());
			this.pendingReachable += isReachable ? 1 : 0;
			ReplicaRequest request = new ReplicaRequest(member.id(), isReachable);
			request.track(this.dependencies.transport()
				.request(member.id(), message, LedgerAnswer.class, this.dependencies.settings().answerTimeoutMs()),
					false);
			if (!isReachable && !proxies.isEmpty()) {
				InstanceId proxy = proxies.get(nextProxyIndex++ % proxies.size());
				request.track(this.dependencies.transport()
					.request(proxy, new LedgerProxyReserve(member.id(), message), LedgerAnswer.class,
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

	private void handleAnswer(boolean isAwaited, LedgerAnswer answer) {
		long nowMs = this.dependencies.timer().nowMs();
		answer.entries().forEach((entry) -> this.budgets.table().merge(entry, nowMs));
		if (!answer.members().isEmpty()) {
			this.budgets.updateMembers(answer.members());
		}
		this.answerCount++;
		this.pendingReachable -= isAwaited ? 1 : 0;
		decide();
	}

	private void handleFailure(boolean isAwaited) {
		this.failureCount++;
		this.pendingReachable -= isAwaited ? 1 : 0;
		decide();
	}

	private void decide() {
		if (this.result.isDone()) {
			return;
		}
		boolean isEveryReplicaDone = this.answerCount + this.failureCount >= this.requestedReplicas;
		LedgerRule rule = LedgerRule.decide(inputs(isEveryReplicaDone));
		if (rule == LedgerRule.GRANTED || rule == LedgerRule.SPENT || isEveryReplicaDone) {
			finish(rule);
		}
		else if (this.pendingReachable <= 0 && !this.isGraceStarted) {
			// A replica that was unreachable may reply by now, directly or through a
			// proxy.
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
				.check(Invariant.BUDGET, inputs.chargedTokens() <= this.budgetTokens + this.tokens,
						() -> "program " + this.program + " is charged " + inputs.chargedTokens()
								+ " tokens, more than one turn above its budget of " + this.budgetTokens);
		}
		else {
			this.budgets.release(this.program, this.tokens);
		}
		this.result.complete(new TokenReservation(rule, inputs, (rule == LedgerRule.GRANTED) ? this.tokens : 0,
				this.budgets.isFirstReservation(this.program, this.tokens)));
	}

	private LedgerInputs inputs(boolean isFinal) {
		return new LedgerInputs(this.budgetTokens, this.budgets.table().chargedTokens(this.program), this.tokens,
				this.dependencies.members().size(), this.answerCount, isFinal);
	}

	/**
	 * The reservation sent to one replica, directly and possibly through a proxy.
	 */
	private final class ReplicaRequest {

		private final InstanceId replica;

		private final boolean isAwaited;

		private int pendingResponses;

		private boolean isAnswered;

		private ReplicaRequest(InstanceId replica, boolean isAwaited) {
			this.replica = replica;
			this.isAwaited = isAwaited;
		}

		private void track(CompletableFuture<LedgerAnswer> future, boolean isThroughProxy) {
			this.pendingResponses++;
			future.whenComplete((answer, error) -> {
				this.pendingResponses--;
				if (!isThroughProxy) {
					recordReachability(error);
				}
				if (error == null && !this.isAnswered) {
					this.isAnswered = true;
					handleAnswer(this.isAwaited, answer);
				}
				else if (error != null && !this.isAnswered && this.pendingResponses == 0) {
					handleFailure(this.isAwaited);
				}
			});
		}

		private void recordReachability(@Nullable Throwable error) {
			LedgerDependencies ledger = ReservationAttempt.this.dependencies;
			ledger.members().recordOutcome(this.replica, error, ledger.timer().nowMs(), ledger.events());
		}

	}

}
