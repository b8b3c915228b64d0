package dev.nutmegdoor.core.ledger;

/**
 * Figures of the ledger.
 *
 * @param answerTimeoutMs longest wait for the answer of a replica in milliseconds
 * @param unreachableGraceMs wait in milliseconds for replicas that did not answer before,
 * if the others can't decide
 * @param updatePeriodMs time for which released tokens are collected in milliseconds
 * @param probePeriodMs time between checks of unreachable replicas in milliseconds
 * @param evictMs time after which an unreachable replica is dropped in milliseconds
 * @param forgetMs time after which an instance drops an unreachable replica that others
 * no longer list, in milliseconds
 * @param compactBytes size at which the log of a replica is compacted in bytes
 * @param maxSyncEntries most entries in one message between replicas
 */
public record LedgerSettings(long answerTimeoutMs, long unreachableGraceMs, long updatePeriodMs, long probePeriodMs,
		long evictMs, long forgetMs, long compactBytes, int maxSyncEntries) {

	/**
	 * Round trips between zones take 8 to 11 ms and a sync of the disk 0.5 ms; a cut of
	 * the network or the restart of a machine lasts up to 10 s. Released tokens must
	 * count within 1 s of the end of a turn.
	 */
	public static final LedgerSettings DEFAULT = new LedgerSettings(250, 40, 200, 500, 20_000, 1_000, 16_000_000,
			20_000);

}
