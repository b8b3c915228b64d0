package dev.nutmegdoor.core.placement;

/**
 * Decides whether an engine keeps the cached prefix of a program that is paused for a
 * tool call. The decision depends only on the components.
 *
 * @param pausedMs time since the last answer to the program in milliseconds
 * @param expectedPauseMs typical pause of such programs in milliseconds
 * @param usedShare fraction of the cache memory of the engine that is in use, 0 to 1
 */
public record CacheRetention(long pausedMs, double expectedPauseMs, double usedShare) {

	/** Up to this fraction of used memory, every prefix is kept. */
	private static final double MEMORY_PRESSURE_SHARE = 0.8;

	/**
	 * A program whose pause exceeds the typical pause by this factor seldom returns soon.
	 */
	private static final double MAX_PAUSE_FACTOR = 8;

	/**
	 * Returns whether the engine keeps the prefix. The permitted pause decreases as the
	 * cache memory fills up.
	 * @return {@code false} if the prefix should be released
	 */
	public boolean isKept() {
		if (this.usedShare <= MEMORY_PRESSURE_SHARE) {
			return true;
		}
		double headroom = Math.max(0.05, (1 - this.usedShare) / (1 - MEMORY_PRESSURE_SHARE));
		return this.pausedMs <= this.expectedPauseMs * MAX_PAUSE_FACTOR * headroom;
	}

}
