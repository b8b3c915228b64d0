package dev.nutmegdoor.core.time;

import org.jspecify.annotations.Nullable;

/**
 * Notices pauses of this process by late ticks, so that a bound on time isn't blamed on
 * others while this process itself did not run.
 */
public final class PauseDetector {

	private static final long TICK_PERIOD_MS = 500;

	/** A tick that is later than this shows a pause; scheduling alone is faster. */
	private static final long PAUSE_THRESHOLD_MS = 1_000;

	private final TimerService timer;

	private long lastTickMs;

	private @Nullable Long pauseEndMs;

	/**
	 * Starts to watch.
	 * @param timer time of this process
	 */
	public PauseDetector(TimerService timer) {
		this.timer = timer;
		this.lastTickMs = timer.nowMs();
		timer.subscribe(TICK_PERIOD_MS, this::tick);
	}

	/**
	 * Returns whether the process has paused since a time.
	 * @param sinceMs time on the timer service in milliseconds
	 * @return {@code true} if a pause ended at or after that time or lasts until now
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
