package dev.nutmegdoor.experiment.limits;

/**
 * Figures of one run.
 *
 * @param offered requests
 * @param offeredWithinRate requests that an exact bucket that is always reachable admits
 * @param refusedWithinRate requests refused although they were within the rate
 * @param forcedRefusals refusals within the rate that the cut-off share makes unavoidable
 * @param overAdmitted requests admitted beyond burst plus rate times T
 * @param messagesPerSecond messages between instances a second
 * @param violations violations of invariants counted inside the program
 */
record LimitOutcome(long offered, long offeredWithinRate, long refusedWithinRate, long forcedRefusals,
		long overAdmitted, double messagesPerSecond, long violations) {

}
