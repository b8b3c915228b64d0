package dev.nutmegdoor.core.placement;

/**
 * Decides whether the cached prefix of a program in a tool pause is kept. Pure.
 *
 * @param pausedMs time since the program's last answer in milliseconds
 * @param expectedPauseMs typical pause of such programs in milliseconds
 * @param usedShare used part of the engine's cache memory, 0 to 1
 */
public record CacheRetention(long pausedMs, double expectedPauseMs, double usedShare) {

	/** Below this use the memory costs nothing. */
	private static final double MEMORY_PRESSURE_SHARE = 0.8;

	/**
	 * A program that has paused this many times longer than usual seldom returns soon.
	 */
	private static final double MAX_PAUSE_FACTOR = 8;

	/**
	 * Returns whether the prefix is to be kept: the fuller the memory, the shorter a
	 * pause may be.
	 * @return {@code false} if the prefix is to be released
	 */
	public boolean isKept() {
		if (this.usedShare <= MEMORY_PRESSURE_SHARE) {
			return true;
		}
		double headroom = Math.max(0.05, (1 - this.usedShare) / (1 - MEMORY_PRESSURE_SHARE));
		return this.pausedMs <= this.expectedPauseMs * MAX_PAUSE_FACTOR * headroom;
	}

}
