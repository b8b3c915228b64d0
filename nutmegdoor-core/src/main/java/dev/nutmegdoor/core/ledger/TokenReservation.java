package dev.nutmegdoor.core.ledger;

/**
 * Outcome of the reservation of tokens for a turn.
 *
 * @param rule the decision; {@link LedgerRule#UNDECIDED} if too few replicas replied to
 * either grant or reject the turn conclusively
 * @param inputs input of the decision
 * @param tokens number of tokens reserved for the turn, 0 unless the turn was granted
 * @param isFirst whether nothing else was charged to the program
 */
public record TokenReservation(LedgerRule rule, LedgerInputs inputs, long tokens, boolean isFirst) {

}
