package dev.nutmegdoor.core.ledger;

/**
 * What decides whether a turn may run.
 *
 * @param budgetTokens tokens that all turns of the program may generate
 * @param chargedTokens tokens charged to the program as far as they are known, those
 * reserved for this turn included
 * @param members replicas of the ledger
 * @param answers replicas that have stored the reservation of this turn
 */
public record LedgerInputs(long budgetTokens, long chargedTokens, int members, int answers) {

}
