package dev.nutmegdoor.core.fake;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Sees all admissions of all instances and checks that in every interval of length T at
 * most burst plus rate times T are admitted. That holds exactly if a token bucket of this
 * rate and burst, which starts full, never falls below zero when each admission takes a
 * token, so each admission costs constant time.
 */
public final class AdmissionObserver {

	private static final double ROUNDING = 1e-6;

	private final TimerService timer;

	private final Map<WorkspaceId, Level> levels = new TreeMap<>();

	private final List<String> violations = new ArrayList<>();

	public AdmissionObserver(TimerService timer) {
		this.timer = timer;
	}

	/**
	 * Sets the bound of a workspace from now on.
	 * @param workspace the workspace
	 * @param ratePerSecond requests a second
	 * @param burst requests at once
	 */
	public void setLimit(WorkspaceId workspace, double ratePerSecond, int burst) {
		Level level = this.levels.computeIfAbsent(workspace, (id) -> new Level(burst, this.timer.nowMs()));
		level.refill(this.timer.nowMs());
		// A raised burst earns its tokens, except before the first admission.
		level.tokens = Math.min(level.tokens, burst);
		level.ratePerSecond = ratePerSecond;
		level.burst = burst;
	}

	/**
	 * Notes one admission at the current time.
	 * @param workspace workspace of the request
	 */
	public void admitted(WorkspaceId workspace) {
		Level level = this.levels.get(workspace);
		if (level == null) {
			this.violations.add("workspace without a limit: " + workspace);
			return;
		}
		level.refill(this.timer.nowMs());
		level.tokens--;
		level.admitted++;
		if (level.tokens < -ROUNDING) {
			this.violations.add("workspace=" + workspace + " at_ms=" + this.timer.nowMs() + " level=" + level.tokens);
			// Each excess request counts once.
			level.tokens++;
		}
	}

	public List<String> violations() {
		return List.copyOf(this.violations);
	}

	/**
	 * Returns the admissions of a workspace.
	 * @param workspace the workspace
	 * @return number since the start
	 */
	public long admittedCount(WorkspaceId workspace) {
		Level level = this.levels.get(workspace);
		return (level != null) ? level.admitted : 0;
	}

	/**
	 * Returns whether an exact bucket that was charged with all admissions so far would
	 * admit one more request now.
	 * @param workspace the workspace
	 * @return {@code true} if there is a whole token
	 */
	public boolean hasToken(WorkspaceId workspace) {
		Level level = this.levels.get(workspace);
		if (level == null) {
			return false;
		}
		level.refill(this.timer.nowMs());
		return level.tokens >= 1;
	}

	private static final class Level {

		private double tokens;

		private double ratePerSecond;

		private int burst;

		private long atMs;

		private long admitted;

		private Level(int burst, long atMs) {
			this.tokens = burst;
			this.burst = burst;
			this.atMs = atMs;
		}

		private void refill(long nowMs) {
			this.tokens = Math.min(this.burst, this.tokens + this.ratePerSecond * (nowMs - this.atMs) / 1000.0);
			this.atMs = nowMs;
		}

	}

}
