package dev.nutmegdoor.node.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.limit.Admission;
import dev.nutmegdoor.core.limit.RateLimiter;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Limits rates with token buckets that hold a fixed, equal share of the rate and burst of
 * each workspace. The shares of all instances add up to one, so the deployment stays
 * within the rate, but a request can be rejected although another instance has tokens.
 */
public final class LocalRateLimiter implements RateLimiter {

	private static final double MS_PER_SECOND = 1_000;

	private final ConfigurationView configuration;

	private final TimerService timers;

	private final int instanceCount;

	private final Map<WorkspaceId, Bucket> buckets = new HashMap<>();

	/**
	 * Creates a limiter.
	 * @param configuration view of the rates and bursts of workspaces
	 * @param timers source of the current time
	 * @param instanceCount number of instances among which rate and burst are divided
	 */
	public LocalRateLimiter(ConfigurationView configuration, TimerService timers, int instanceCount) {
		this.configuration = configuration;
		this.timers = timers;
		this.instanceCount = instanceCount;
	}

	@Override
	public CompletableFuture<Admission> admit(WorkspaceId id) {
		Workspace workspace = this.configuration.current().workspaces().get(id);
		if (workspace == null) {
			return CompletableFuture.completedFuture(new Admission(false, 0, 0, "workspace is not configured"));
		}
		double ratePerMs = workspace.ratePerSecond() / MS_PER_SECOND / this.instanceCount;
		double capacity = Math.max(1.0 / this.instanceCount, (double) workspace.burst() / this.instanceCount);
		// A bucket with a capacity below one token could never admit a request, so tokens
		// accumulate up to one.
		double accumulationLimit = Math.max(1, capacity);
		Bucket bucket = this.buckets.computeIfAbsent(id, (key) -> new Bucket(capacity, this.timers.nowMs()));
		long nowMs = this.timers.nowMs();
		bucket.tokens = Math.min(accumulationLimit, bucket.tokens + (nowMs - bucket.updatedAtMs) * ratePerMs);
		bucket.updatedAtMs = nowMs;
		if (bucket.tokens >= 1) {
			bucket.tokens -= 1;
			return CompletableFuture.completedFuture(new Admission(true, 0, (long) bucket.tokens, "token in bucket"));
		}
		long retryAfterMs = (ratePerMs > 0) ? (long) Math.ceil((1 - bucket.tokens) / ratePerMs) : 0;
		return CompletableFuture.completedFuture(new Admission(false, retryAfterMs, 0, "bucket is empty"));
	}

	private static final class Bucket {

		private double tokens;

		private long updatedAtMs;

		private Bucket(double tokens, long updatedAtMs) {
			this.tokens = tokens;
			this.updatedAtMs = updatedAtMs;
		}

	}

}
