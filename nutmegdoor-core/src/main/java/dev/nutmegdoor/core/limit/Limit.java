package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.configuration.Workspace;

/**
 * Rate and burst of a workspace across all instances.
 *
 * @param rateMilli requests per second, in thousandths
 * @param burst maximum number of requests that can be admitted without a refill
 */
public record Limit(long rateMilli, int burst) {

	/** Units into which the share of a workspace is divided. */
	public static final long SHARE_UNITS = 1_000_000;

	/** Micro-tokens in one token, which admits one request. */
	public static final long MICRO_PER_TOKEN = 1_000_000;

	/** Limit of a workspace that is not configured. */
	public static final Limit NONE = new Limit(0, 0);

	static Limit of(Workspace workspace) {
		return new Limit((long) Math.floor(workspace.ratePerSecond() * 1000), workspace.burst());
	}

	/**
	 * Returns the capacity of a bucket. Each unit can hold as many micro-tokens as the
	 * burst has requests.
	 * @param units units that the bucket holds
	 * @return capacity in micro-tokens
	 */
	public long capacityMicro(long units) {
		return units * this.burst;
	}

	/**
	 * Returns the time in which a bucket refills the given tokens.
	 * @param units units that the bucket holds
	 * @param tokensMicro micro-tokens to refill
	 * @return milliseconds, rounded up and at most one day
	 */
	public long refillTimeMs(long units, long tokensMicro) {
		long maxTimeMs = 86_400_000;
		if (this.rateMilli <= 0 || units <= 0) {
			return maxTimeMs;
		}
		double timeMs = Math.ceil((double) tokensMicro * SHARE_UNITS / ((double) this.rateMilli * units));
		return (long) Math.max(0, Math.min((double) maxTimeMs, timeMs));
	}

	/**
	 * Returns the rate at which a bucket is refilled.
	 * @param units units that the bucket holds
	 * @return requests per second, in thousandths, rounded down
	 */
	public long rateMilli(long units) {
		return this.rateMilli * units / SHARE_UNITS;
	}

}
