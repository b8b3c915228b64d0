package dev.nutmegdoor.core.ledger;

/**
 * Input of {@link LedgerRule}.
 *
 * @param budgetTokens maximum number of tokens that all turns of the program may generate
 * @param chargedTokens number of tokens known to be charged to the program, including
 * those reserved for this turn
 * @param turnTokens number of tokens reserved for this turn
 * @param members number of replicas of the ledger
 * @param answers number of replicas that have stored the reservation of this turn
 * @param isFinal whether no further reply is expected
 */
public record LedgerInputs(long budgetTokens, long chargedTokens, long turnTokens, int members, int answers,
		boolean isFinal) {

}
