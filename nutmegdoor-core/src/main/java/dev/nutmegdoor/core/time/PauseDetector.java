package dev.nutmegdoor.core.time;

import org.jspecify.annotations.Nullable;

/**
 * Detects pauses of this process by late timer ticks, so that an exceeded time bound is
 * not attributed to other parties when this process itself was not running.
 */
public final class PauseDetector {

	private static final long TICK_PERIOD_MS = 500;

	/**
	 * Delay of a tick above which the process is considered paused; scheduling alone
	 * delays ticks less.
	 */
	private static final long PAUSE_THRESHOLD_MS = 1_000;

	private final TimerService timer;

	private long lastTickMs;

	private @Nullable Long pauseEndMs;

	/**
	 * Starts the periodic ticks.
	 * @param timer source of time and ticks
	 */
	public PauseDetector(TimerService timer) {
		this.timer = timer;
		this.lastTickMs = timer.nowMs();
		timer.subscribe(TICK_PERIOD_MS, this::tick);
	}

	/**
	 * Returns whether the process has been paused since the given time.
	 * @param sinceMs time in milliseconds as returned by {@link TimerService#nowMs()}
	 * @return {@code true} if a pause ended at or after that time, also if this call is
	 * the first to detect it
	 */
	public boolean hasPausedSince(long sinceMs) {
		tick();
		return this.pauseEndMs != null && this.pauseEndMs >= sinceMs;
	}

	private void tick() {
		long nowMs = this.timer.nowMs();
		if (nowMs - this.lastTickMs > TICK_PERIOD_MS + PAUSE_THRESHOLD_MS) {
			this.pauseEndMs = nowMs;
		}
		this.lastTickMs = nowMs;
	}

}
