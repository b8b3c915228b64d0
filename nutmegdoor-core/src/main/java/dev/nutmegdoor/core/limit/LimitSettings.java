package dev.nutmegdoor.core.limit;

/**
 * Settings of the rate limiter.
 *
 * @param tickMs period of refilling all buckets and retrying transfers in milliseconds
 * @param maxRefillGapMs longest span for which a bucket is refilled at once, in
 * milliseconds; a longer one is a pause or a jump of the clock and earns nothing
 * @param rebalanceMs period of moving shares towards demand in milliseconds
 * @param askTimeoutMs longest wait for a holder's answer from its own bucket in
 * milliseconds
 * @param forwardTimeoutMs longest wait for a holder that may ask others, in milliseconds
 * @param gatherTimeoutMs longest wait for tokens from other holders in milliseconds
 * @param maxDelayMs longest time for which a request is held back because a token is due,
 * in milliseconds
 * @param balanceAgeMs age at which a known balance counts as unknown, in milliseconds
 * @param unresponsiveMs how long a holder that did not answer is not asked again, in
 * milliseconds
 */
public record LimitSettings(long tickMs, long maxRefillGapMs, long rebalanceMs, long askTimeoutMs,
		long forwardTimeoutMs, long gatherTimeoutMs, long maxDelayMs, long balanceAgeMs, long unresponsiveMs) {

	/**
	 * Defaults. The delay is short beside a model call, and shorter than the retry that a
	 * refusal would cause; the forward timeout leaves room for it.
	 */
	public static final LimitSettings DEFAULT = new LimitSettings(500, 1500, 1000, 100, 600, 200, 200, 2000, 1000);

}
