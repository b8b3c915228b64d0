package dev.nutmegdoor.core.ledger;

/**
 * Timeouts, periods and sizes of the ledger.
 *
 * @param answerTimeoutMs maximum wait for the reply of a replica in milliseconds
 * @param unreachableGraceMs wait in milliseconds for the replies of replicas that were
 * unreachable, if those of the reachable replicas do not suffice for a decision
 * @param updatePeriodMs period in milliseconds between two updates with released tokens
 * @param probePeriodMs period in milliseconds between two probes of the other replicas
 * @param evictMs time in milliseconds after which an unreachable replica is removed from
 * the ledger
 * @param forgetMs time in milliseconds after which an instance removes an unreachable
 * replica that another replica does not list
 * @param compactBytes size in bytes at which the log of a replica is compacted
 * @param maxSyncEntries maximum number of entries in a message that transfers entries to
 * another replica
 */
public record LedgerSettings(long answerTimeoutMs, long unreachableGraceMs, long updatePeriodMs, long probePeriodMs,
		long evictMs, long forgetMs, long compactBytes, int maxSyncEntries) {

	/**
	 * Round trips between zones take 8 to 11 ms and forcing a write to disk takes 0.5 ms;
	 * a network partition or the restart of a machine lasts up to 10 s. Released tokens
	 * must be available again within 1 s of the end of a turn.
	 */
	public static final LedgerSettings DEFAULT = new LedgerSettings(250, 40, 200, 500, 20_000, 1_000, 16_000_000,
			20_000);

}
