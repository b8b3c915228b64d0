package dev.nutmegdoor.core.limit;

/**
 * Settings of the rate limiter.
 *
 * @param tickMs period of refilling all buckets and retrying transfers in milliseconds
 * @param maxRefillGapMs maximum time between two refills in milliseconds; a longer one is
 * treated as a pause or a clock jump and adds no tokens
 * @param rebalanceMs period of moving shares towards demand in milliseconds
 * @param askTimeoutMs maximum wait in milliseconds for a holder that decides from its own
 * bucket
 * @param forwardTimeoutMs maximum wait in milliseconds for a holder that may query others
 * @param gatherTimeoutMs maximum wait in milliseconds for tokens from other holders
 * @param maxDelayMs maximum time in milliseconds for which a request is delayed because a
 * token is due
 * @param balanceAgeMs maximum age of a peer's balance in milliseconds; an older one is
 * treated as unknown
 * @param unresponsiveMs time in milliseconds for which a holder is not queried after it
 * did not answer
 */
public record LimitSettings(long tickMs, long maxRefillGapMs, long rebalanceMs, long askTimeoutMs,
		long forwardTimeoutMs, long gatherTimeoutMs, long maxDelayMs, long balanceAgeMs, long unresponsiveMs) {

	/**
	 * Default settings. The maximum delay is short compared to a model call and shorter
	 * than the retry that a rejection would cause. The forward timeout is long enough to
	 * include it.
	 */
	public static final LimitSettings DEFAULT = new LimitSettings(500, 1500, 1000, 100, 600, 200, 200, 2000, 1000);

}
