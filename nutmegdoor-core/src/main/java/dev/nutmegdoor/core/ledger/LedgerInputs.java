package dev.nutmegdoor.core.ledger;

/**
 * What decides whether a turn may run.
 *
 * @param budgetTokens tokens that all turns of the program may generate
 * @param chargedTokens tokens charged to the program as far as they are known, those
 * reserved for this turn included
 * @param turnTokens tokens reserved for this turn
 * @param members replicas of the ledger
 * @param answers replicas that have stored the reservation of this turn
 * @param isFinal whether no further answer is expected
 */
public record LedgerInputs(long budgetTokens, long chargedTokens, long turnTokens, int members, int answers,
		boolean isFinal) {

}
