package dev.nutmegdoor.core.ledger;

/**
 * Decides whether a turn may run. A budget is divided evenly among the replicas of the
 * ledger, and a turn may use the shares of the replicas that have stored its reservation.
 * The two sides of a network partition reach different replicas, so that together they
 * exceed the budget by at most one turn.
 */
public enum LedgerRule {

	/** The shares of the replicas that have stored the reservation cover the turn. */
	GRANTED,

	/**
	 * The budget does not cover the turn, regardless of the entries of other replicas.
	 */
	SPENT,

	/**
	 * The shares of the replicas that have stored the reservation do not cover the turn,
	 * but those of other replicas may.
	 */
	UNDECIDED;

	/**
	 * Decides whether a turn may run. The decision depends only on the input.
	 * @param inputs budget, charged tokens and number of replies
	 * @return the decision
	 */
	public static LedgerRule decide(LedgerInputs inputs) {
		if (inputs.members() == 0 || inputs.answers() == 0) {
			return UNDECIDED;
		}
		if (inputs.chargedTokens() > inputs.budgetTokens()) {
			return SPENT;
		}
		long shares = Math.min(inputs.answers(), inputs.members());
		long reached = inputs.budgetTokens() * shares;
		if (inputs.chargedTokens() * inputs.members() <= reached) {
			return GRANTED;
		}
		// The turn that uses up a budget may exceed it. Only the smaller side of a
		// network partition may make use of this allowance, while the larger side is
		// limited to its shares, so that both sides together exceed the budget by at most
		// one turn.
		boolean isSmallerSide = inputs.isFinal() && shares * 2 < inputs.members();
		long chargedBefore = inputs.chargedTokens() - inputs.turnTokens();
		return (isSmallerSide && chargedBefore * inputs.members() < reached) ? GRANTED : UNDECIDED;
	}

}
