package dev.nutmegdoor.core.store;

/**
 * State of the client's call budget.
 *
 * @param availableCalls calls that may be made at once
 * @param queuedCalls calls that wait for the budget
 * @param isBreakerOpen whether the platform is regarded as out
 * @param breakerOpened how often the breaker opened
 * @param sentCalls calls sent since the start
 * @param coalescedReads reads that shared the call of another one
 * @param refusedCalls calls refused without being sent
 */
public record CallBudgetDump(double availableCalls, int queuedCalls, boolean isBreakerOpen, long breakerOpened,
		long sentCalls, long coalescedReads, long refusedCalls) {

}
