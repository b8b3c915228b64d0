package dev.nutmegdoor.core.ledger;

/**
 * Outcome of asking for the tokens of a turn.
 *
 * @param rule decision on the budget; {@link LedgerRule#UNDECIDED} if too few replicas
 * could be reached to grant the turn or to refuse it for good
 * @param inputs what decided it
 * @param tokens tokens held for the turn, 0 unless it was granted
 * @param isFirst whether nothing was charged to the program before
 */
public record TokenReservation(LedgerRule rule, LedgerInputs inputs, long tokens, boolean isFirst) {

}
