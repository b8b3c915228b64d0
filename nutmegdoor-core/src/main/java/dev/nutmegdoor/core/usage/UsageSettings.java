package dev.nutmegdoor.core.usage;

/**
 * Figures of the exchange of usage.
 *
 * @param reportPeriodMs time between reports in milliseconds; what all instances admit
 * above a limit is bounded by the demand in this time
 * @param calmPeriodMs time between reports while all buckets are well filled in
 * milliseconds
 * @param quietPeriodMs time between reports of an instance that admits nothing in
 * milliseconds
 * @param freshMs age up to which an instance counts as reachable in milliseconds
 * @param forgetMs time after which a silent instance no longer counts in milliseconds
 * @param returnMs time after the end of a gap for which an instance still counts as out
 * of reach in milliseconds; reports that a cut has held up arrive meanwhile
 * @param startMs time after the start in which levels of others are adopted in
 * milliseconds
 */
public record UsageSettings(long reportPeriodMs, long calmPeriodMs, long quietPeriodMs, long freshMs, long forgetMs,
		long returnMs, long startMs) {

	/**
	 * A report period of 100 ms keeps the excess of a tenant that sends seven times its
	 * rate below the tenth of a 5 s window that the deployments tolerate.
	 */
	public static final UsageSettings DEFAULT = new UsageSettings(100, 300, 500, 1_500, 60_000, 1_000, 1_500);

}
