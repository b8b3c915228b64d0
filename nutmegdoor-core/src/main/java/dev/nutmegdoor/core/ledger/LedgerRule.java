package dev.nutmegdoor.core.ledger;

/**
 * Decides whether a turn may run. A budget is divided evenly over the replicas of the
 * ledger, and a turn may use the shares of the replicas that have stored its reservation.
 * Two parts of a deployment that can't see each other reach different replicas, so that
 * what they grant never adds up to more than the budget.
 */
public enum LedgerRule {

	/** The reached replicas' shares hold the turn. */
	GRANTED,

	/** The budget does not hold the turn, whatever the other replicas know. */
	SPENT,

	/** The shares that were reached do not hold the turn; others may. */
	UNDECIDED;

	/**
	 * Decides on the inputs alone.
	 * @param inputs everything the decision depends on
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
		// A budget may be exceeded by the rest of the turn that used it up. The smaller
		// part of a divided deployment takes this allowance, the larger one keeps to its
		// shares, so that both together exceed the budget by one turn at most.
		boolean isSmallerPart = inputs.isFinal() && shares * 2 < inputs.members();
		long chargedBefore = inputs.chargedTokens() - inputs.turnTokens();
		return (isSmallerPart && chargedBefore * inputs.members() < reached) ? GRANTED : UNDECIDED;
	}

}
