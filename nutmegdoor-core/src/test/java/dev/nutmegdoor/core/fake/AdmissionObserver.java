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

	private static final double ROUNDING_TOLERANCE = 1e-6;

	private final TimerService timer;

	private final Map<WorkspaceId, TokenBucket> buckets = new TreeMap<>();

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
		TokenBucket bucket = this.buckets.computeIfAbsent(workspace,
				(id) -> new TokenBucket(burst, this.timer.nowMs()));
		bucket.refill(this.timer.nowMs());
		// A raised burst earns its tokens, except before the first admission.
		bucket.tokens = Math.min(bucket.tokens, burst);
		bucket.ratePerSecond = ratePerSecond;
		bucket.burst = burst;
	}

	/**
	 * Notes one admission at the current time.
	 * @param workspace workspace of the request
	 */
	public void admitted(WorkspaceId workspace) {
		TokenBucket bucket = this.buckets.get(workspace);
		if (bucket == null) {
			this.violations.add("workspace without a limit: " + workspace);
			return;
		}
		bucket.refill(this.timer.nowMs());
		bucket.tokens--;
		bucket.admitted++;
		if (bucket.tokens < -ROUNDING_TOLERANCE) {
			this.violations.add("workspace=" + workspace + " at_ms=" + this.timer.nowMs() + " level=" + bucket.tokens);
			// Each excess request counts once.
			bucket.tokens++;
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
		TokenBucket bucket = this.buckets.get(workspace);
		return (bucket != null) ? bucket.admitted : 0;
	}

	/**
	 * Returns whether an exact bucket that was charged with all admissions so far would
	 * admit one more request now.
	 * @param workspace the workspace
	 * @return {@code true} if there is a whole token
	 */
	public boolean hasToken(WorkspaceId workspace) {
		TokenBucket bucket = this.buckets.get(workspace);
		if (bucket == null) {
			return false;
		}
		bucket.refill(this.timer.nowMs());
		return bucket.tokens >= 1;
	}

	private static final class TokenBucket {

		private double tokens;

		private double ratePerSecond;

		private int burst;

		private long refilledAtMs;

		private long admitted;

		private TokenBucket(int burst, long refilledAtMs) {
			this.tokens = burst;
			this.burst = burst;
			this.refilledAtMs = refilledAtMs;
		}

		private void refill(long nowMs) {
			this.tokens = Math.min(this.burst, this.tokens + this.ratePerSecond * (nowMs - this.refilledAtMs) / 1000.0);
			this.refilledAtMs = nowMs;
		}

	}

}
