package dev.nutmegdoor.core.fake;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Observes the admissions of all instances and checks that in every interval of length T
 * at most burst plus rate times T requests are admitted. This holds if and only if a
 * token bucket of this rate and burst that is initially full never falls below zero when
 * each admission consumes a token. The check therefore takes constant time per admission.
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
	 * Sets the rate limit of a workspace from the current time on.
	 * @param workspace workspace to which the limit applies
	 * @param ratePerSecond rate in requests per second
	 * @param burst capacity of the bucket in requests
	 */
	public void setLimit(WorkspaceId workspace, double ratePerSecond, int burst) {
		TokenBucket bucket = this.buckets.computeIfAbsent(workspace,
				(id) -> new TokenBucket(burst, this.timer.nowMs()));
		bucket.refill(this.timer.nowMs());
		// Raising the burst adds no tokens; they accrue at the rate. Only a new bucket
		// starts full.
		bucket.tokens = Math.min(bucket.tokens, burst);
		bucket.ratePerSecond = ratePerSecond;
		bucket.burst = burst;
	}

	/**
	 * Records one admission at the current time.
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
			// Returns the token, so that each excess request is reported only once.
			bucket.tokens++;
		}
	}

	public List<String> violations() {
		return List.copyOf(this.violations);
	}

	/**
	 * Returns the number of admissions of a workspace.
	 * @param workspace workspace whose admissions are counted
	 * @return number since the start; 0 if the workspace has no limit
	 */
	public long admittedCount(WorkspaceId workspace) {
		TokenBucket bucket = this.buckets.get(workspace);
		return (bucket != null) ? bucket.admitted : 0;
	}

	/**
	 * Returns whether a single central token bucket that has recorded all admissions so
	 * far would admit another request now.
	 * @param workspace workspace whose bucket is checked; without a limit it has no token
	 * @return {@code true} if at least one token is available
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
