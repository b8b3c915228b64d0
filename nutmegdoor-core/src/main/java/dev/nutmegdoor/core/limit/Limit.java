package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.configuration.Workspace;

/**
 * Rate and burst of a workspace.
 *
 * @param rateMilli requests a second, in thousandths
 * @param burst capacity of the whole workspace in requests
 */
public record Limit(long rateMilli, int burst) {

	/** Units of the whole share of a workspace. */
	public static final long SHARE_UNITS = 1_000_000;

	/** Micro-tokens of one request. */
	public static final long MICRO_PER_TOKEN = 1_000_000;

	/** Limit of a workspace that is not configured. */
	public static final Limit NONE = new Limit(0, 0);

	static Limit of(Workspace workspace) {
		return new Limit((long) Math.floor(workspace.ratePerSecond() * 1000), workspace.burst());
	}

	/**
	 * Returns the capacity of a bucket. A unit of the share holds as many micro-tokens as
	 * the burst has requests.
	 * @param units units of the share
	 * @return micro-tokens
	 */
	public long capacityMicro(long units) {
		return units * this.burst;
	}

	/**
	 * Returns the time in which a share earns the given tokens.
	 * @param units units of the share
	 * @param tokensMicro micro-tokens
	 * @return milliseconds, rounded up; a day if it takes longer
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
	 * Returns the requests a second that a share earns, in thousandths.
	 * @param units units of the share
	 * @return thousandths of requests a second
	 */
	public long rateMilli(long units) {
		return this.rateMilli * units / SHARE_UNITS;
	}

}
