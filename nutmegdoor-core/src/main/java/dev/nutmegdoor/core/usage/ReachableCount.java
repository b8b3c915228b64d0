package dev.nutmegdoor.core.usage;

/**
 * What relays last said about the number of instances in a zone or in the whole
 * deployment.
 */
final class ReachableCount {

	private final UsageSettings settings;

	private int known;

	private int reachable;

	private long receivedMs = Long.MIN_VALUE / 2;

	private long returnedMs = Long.MIN_VALUE / 2;

	ReachableCount(UsageSettings settings) {
		this.settings = settings;
	}

	/**
	 * Records the numbers of a digest.
	 * @param digest digest of a relay
	 * @param nowMs current time in milliseconds
	 * @return {@code true} if digests were missing for some time before this one
	 */
	boolean record(UsageDigest digest, long nowMs) {
		boolean isAfterGap = this.known > 0 && nowMs - this.receivedMs > this.settings.freshMs();
		if (isAfterGap) {
			this.returnedMs = nowMs;
		}
		this.known = digest.knownInstances();
		this.reachable = digest.reachableInstances();
		this.receivedMs = nowMs;
		return isAfterGap;
	}

	/**
	 * Returns whether a gap has ended recently, so that delayed messages still arrive.
	 * @param nowMs current time in milliseconds
	 * @return {@code true} for {@link UsageSettings#returnMs()} after the gap
	 */
	boolean isReturning(long nowMs) {
		return nowMs - this.returnedMs < this.settings.returnMs();
	}

	int known(long nowMs) {
		return (nowMs - this.receivedMs <= this.settings.forgetMs()) ? this.known : 0;
	}

	int reachable(long nowMs) {
		boolean isFresh = nowMs - this.receivedMs <= this.settings.freshMs();
		return (isFresh && !isReturning(nowMs)) ? this.reachable : 0;
	}

}
