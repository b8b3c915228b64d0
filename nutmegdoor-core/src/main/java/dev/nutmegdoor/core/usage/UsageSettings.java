package dev.nutmegdoor.core.usage;

/**
 * Periods and timeouts of usage reports.
 *
 * @param reportPeriodMs time between reports in milliseconds while a bucket is low; the
 * demand in this time bounds what all instances admit above a limit
 * @param calmPeriodMs time between reports in milliseconds while all buckets are well
 * filled
 * @param quietPeriodMs time between reports in milliseconds of an instance that admits
 * nothing
 * @param freshMs maximum age in milliseconds of the last report of a reachable instance
 * @param forgetMs age of the last report in milliseconds after which an instance is no
 * longer counted
 * @param returnMs time in milliseconds after a gap for which an instance is still treated
 * as unreachable; reports that were delayed by a network partition arrive in this time
 * @param startMs time in milliseconds after the start in which an instance adopts the
 * bucket levels of others
 * @param suspectMs time in milliseconds for which a relay that has not answered is not
 * chosen, and after which an instance that sends nothing gets no more digests
 * @param directInstances number of instances up to which each reports to each other
 */
public record UsageSettings(long reportPeriodMs, long calmPeriodMs, long quietPeriodMs, long freshMs, long forgetMs,
		long returnMs, long startMs, long suspectMs, int directInstances) {

	/**
	 * Default settings. The report period of 100 ms keeps the excess of a tenant that
	 * sends seven times its rate below the 10% of a 5 s window that the deployments
	 * tolerate.
	 */
	public static final UsageSettings DEFAULT = new UsageSettings(100, 300, 500, 1_500, 60_000, 1_000, 1_500, 3_000,
			16);

}
