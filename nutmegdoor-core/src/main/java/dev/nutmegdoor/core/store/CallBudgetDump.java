package dev.nutmegdoor.core.store;

/**
 * State of a {@link BudgetedObjectStore} for the state dump.
 *
 * @param availableCalls tokens that are available now; a call takes one
 * @param queuedCalls calls that wait for a token
 * @param isBreakerOpen whether the circuit breaker is open, that is, the platform is
 * treated as unavailable
 * @param breakerOpened number of times the circuit breaker has opened
 * @param sentCalls calls sent since the start of the process, retries included
 * @param coalescedReads reads that shared the call of an equal read
 * @param refusedCalls calls rejected without being sent
 */
public record CallBudgetDump(double availableCalls, int queuedCalls, boolean isBreakerOpen, long breakerOpened,
		long sentCalls, long coalescedReads, long refusedCalls) {

}
