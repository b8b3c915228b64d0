package dev.nutmegdoor.core.watch;

/**
 * Periods and limits of shared watches.
 *
 * @param directInstances number of instances up to which each watches the store itself
 * @param heartbeatMs time in milliseconds between two messages of a watching instance
 * @param verifyMs age in milliseconds of the last proof of the store's state from which
 * the first watching instance of a zone asks the store for another
 * @param verifyStepMs additional age from which the second one does
 * @param freshMs age in milliseconds of that proof from which a follower watches the
 * store itself
 * @param jitterMs maximum additional time in milliseconds, so that the followers of a
 * failed instance don't call the store at the same moment
 * @param renewMs time in milliseconds between two subscriptions to an instance
 * @param leaseMs time in milliseconds for which a subscription is valid
 * @param silentMs time in milliseconds without a proof after which another instance is
 * chosen
 * @param suspectMs time in milliseconds for which an instance is not chosen the first
 * time; doubled each time up to the maximum
 * @param maxSuspectMs maximum of that time in milliseconds
 * @param bufferedChanges maximum number of remembered changes of a kind
 * @param bufferedLength maximum length in characters of the remembered changes of a kind;
 * a longer change is not sent, and followers read it from the store
 */
public record SharedWatchSettings(int directInstances, long heartbeatMs, long verifyMs, long verifyStepMs, long freshMs,
		long jitterMs, long renewMs, long leaseMs, long silentMs, long suspectMs, long maxSuspectMs,
		int bufferedChanges, int bufferedLength) {

	private static final double VERIFY_SHARE = 0.4;

	private static final double VERIFY_STEP_SHARE = 0.15;

	private static final double FRESH_SHARE = 0.65;

	/**
	 * Returns the default settings. The first watching instance of a zone, the second one
	 * and then each follower asks the store for itself, in time for the bound. The limit
	 * of a message keeps a change for 25 followers below 0.5 s on a link of 21 Mbit/s.
	 * @param boundMs time in milliseconds after which an acknowledged change must be in
	 * use
	 * @return settings for all kinds that are shared
	 */
	public static SharedWatchSettings forBound(long boundMs) {
		return new SharedWatchSettings(16, 350, Math.round(boundMs * VERIFY_SHARE),
				Math.round(boundMs * VERIFY_STEP_SHARE), Math.round(boundMs * FRESH_SHARE), 200, 2_000, 5_000, 1_500,
				3_000, 60_000, 256, 50_000);
	}

}
