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
		long reached = inputs.budgetTokens() * Math.min(inputs.answers(), inputs.members());
		return (inputs.chargedTokens() * inputs.members() <= reached) ? GRANTED : UNDECIDED;
	}

}
