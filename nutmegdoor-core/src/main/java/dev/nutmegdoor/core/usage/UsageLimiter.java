package dev.nutmegdoor.core.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.limit.Admission;
import dev.nutmegdoor.core.limit.RateLimiter;
import dev.nutmegdoor.core.limit.RequestStage;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.quarantine.RequestQuarantine;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Limits the requests of each workspace to a rate and burst across all instances. Each
 * instance keeps one bucket per workspace. It takes a token immediately for each request
 * that it admits, and deducts the admissions of other instances when they are reported. A
 * bucket may become negative, so that an excess admitted between two reports is repaid.
 * While some instances are unreachable, an instance uses only the fraction of rate and
 * burst that corresponds to the fraction of instances that it can reach, itself included.
 * Runs on the control thread.
 */
public final class UsageLimiter implements RateLimiter {

	private static final long MS_PER_SECOND = 1_000;

	/** Fraction of the burst below which reports are sent more often. */
	private static final double LOW_LEVEL_FRACTION = 0.6;

	/** Fraction of the burst below which restarted instances adopt a level. */
	private static final double REPORTED_LEVEL_FRACTION = 0.9;

	private final UsageExchange exchange;

	private final ConfigurationView configuration;

	private final TimerService timer;

	private final UniformRandomProvider random;

	private final boolean isFirstStart;

	private final Map<WorkspaceId, UsageBucket> buckets = new HashMap<>();

	private final Map<WorkspaceId, WaitQueue> waitQueues = new HashMap<>();

	/**
	 * Creates a limiter and subscribes it to the timer and to reports of other instances.
	 * @param transport sends reports and receives those of other instances
	 * @param peers tracks which other instances are reachable; updated by the limiter
	 * @param configuration rates and bursts by workspace
	 * @param timer runs the limiter on the control thread
	 * @param random spreads retries of clients and rounds token counts at random
	 * @param eventLog receives changes of the reachable fraction
	 * @param settings periods and timeouts of the reports
	 * @param self address of this instance, included in its reports
	 * @param isFirstStart whether the entire system starts for the first time, so that no
	 * instance can have admitted anything
	 * @param loadSharing supplies and receives loads of replicas, which travel with the
	 * reports
	 * @param quarantine supplies and receives requests that replicas had when they
	 * crashed, which travel with the reports as well
	 */
	public UsageLimiter(PeerTransport transport, UsagePeers peers, ConfigurationView configuration, TimerService timer,
			UniformRandomProvider random, EventLog eventLog, UsageSettings settings, LocalUsageEndpoint self,
			boolean isFirstStart, LoadSharing loadSharing, RequestQuarantine quarantine) {
		this(transport, peers, configuration, timer, random, eventLog, settings, self, isFirstStart, loadSharing,
				quarantine, EvacuationSharing.NONE);
	}

	/**
	 * Creates a limiter and subscribes it to the timer and to reports of other instances.
	 * @param transport sends reports and receives those of other instances
	 * @param peers tracks which other instances are reachable; updated by the limiter
	 * @param configuration rates and bursts by workspace
	 * @param timer runs the limiter on the control thread
	 * @param random spreads retries of clients and rounds token counts at random
	 * @param eventLog receives changes of the reachable fraction
	 * @param settings periods and timeouts of the reports
	 * @param self address of this instance, included in its reports
	 * @param isFirstStart whether the entire system starts for the first time, so that no
	 * instance can have admitted anything
	 * @param loadSharing supplies and receives loads of replicas, which travel with the
	 * reports
	 * @param quarantine supplies and receives requests that replicas had when they
	 * crashed, which travel with the reports as well
	 * @param evacuationSharing supplies and receives evacuated zones, which travel with
	 * the reports as well
	 */
	public UsageLimiter(PeerTransport transport, UsagePeers peers, ConfigurationView configuration, TimerService timer,
			UniformRandomProvider random, EventLog eventLog, UsageSettings settings, LocalUsageEndpoint self,
			boolean isFirstStart, LoadSharing loadSharing, RequestQuarantine quarantine,
			EvacuationSharing evacuationSharing) {
		this.configuration = configuration;
		this.timer = timer;
		this.random = random;
		this.isFirstStart = isFirstStart;
		this.exchange = new UsageExchange(transport, peers, timer, eventLog, settings, self, isFirstStart,
				new BucketListener(), loadSharing, quarantine, evacuationSharing);
		timer.subscribe(settings.reportPeriodMs(), () -> {
			this.exchange.sendIfDue();
			processWaitQueues();
		});
	}

	@Override
	public CompletableFuture<Admission> admit(WorkspaceId workspace) {
		return admit(workspace, RequestStage.CONTINUING);
	}

	@Override
	public CompletableFuture<Admission> admit(WorkspaceId workspace, RequestStage stage) {
		Workspace configured = this.configuration.current().workspaces().get(workspace);
		if (configured == null || configured.ratePerSecond() <= 0) {
			return CompletableFuture.completedFuture(new Admission(true, 0, Integer.MAX_VALUE, "unlimited"));
		}
		UsageBucket bucket = refilledBucket(configured);
		WaitQueue queue = this.waitQueues.computeIfAbsent(workspace, (id) -> new WaitQueue());
		if (queue.countAhead(stage) == 0 && bucket.tokens >= 1 + reservedTokens(configured, stage)) {
			return CompletableFuture.completedFuture(takeToken(configured, bucket));
		}
		long waitMs = expectedWaitMs(configured, bucket, queue.countAhead(stage), stage);
		if (waitMs <= stage.maxWaitMs()) {
			return queue.add(stage, this.timer.nowMs() + stage.maxWaitMs());
		}
		return CompletableFuture.completedFuture(reject(bucket, waitMs));
	}

	private Admission takeToken(Workspace workspace, UsageBucket bucket) {
		bucket.tokens--;
		this.exchange.admitted(workspace.id());
		return new Admission(true, 0, (long) Math.max(0, bucket.tokens), "within the rate");
	}

	// Adds jitter to the retry time, so that clients rejected together do not retry
	// together.
	private Admission reject(UsageBucket bucket, long waitMs) {
		long jitterMs = this.random.nextLong(Math.max(1, waitMs / 2));
		return new Admission(false, waitMs + jitterMs, (long) Math.max(0, bucket.tokens),
				(bucket.tokens < 1) ? "exhausted" : "kept for programs under way");
	}

	private double reservedTokens(Workspace workspace, RequestStage stage) {
		return stage.reservedBurstFraction() * workspace.burst() * reachableFraction();
	}

	private long expectedWaitMs(Workspace workspace, UsageBucket bucket, int aheadCount, RequestStage stage) {
		double missingTokens = Math.max(0, 1 + reservedTokens(workspace, stage) - bucket.tokens);
		// Requests that wait on the other instances compete for the same tokens.
		double neededTokens = missingTokens + (double) aheadCount * this.exchange.knownInstances();
		return (long) Math.ceil(neededTokens * MS_PER_SECOND / (workspace.ratePerSecond() * reachableFraction()));
	}

	// Every instance has the same tokens in its bucket, so each admits waiting requests
	// only for its fraction of them. Requests whose deadline has passed are rejected.
	private void processWaitQueues() {
		long nowMs = this.timer.nowMs();
		int instanceCount = this.exchange.knownInstances();
		this.waitQueues.forEach((id, queue) -> {
			Workspace workspace = this.configuration.current().workspaces().get(id);
			if (queue.isEmpty() || workspace == null) {
				return;
			}
			UsageBucket bucket = refilledBucket(workspace);
			int admissibleCount = (int) Math
				.floor(Math.max(0, bucket.tokens) / instanceCount + this.random.nextDouble());
			double reservedTokens = reservedTokens(workspace, RequestStage.OPENING);
			for (int i = 0; i < admissibleCount; i++) {
				WaitQueue.WaitingRequest next = queue.pollNext(bucket.tokens, reservedTokens);
				if (next != null) {
					next.result().complete(takeToken(workspace, bucket));
				}
			}
			for (WaitQueue.WaitingRequest expired = queue.pollExpired(nowMs); expired != null; expired = queue
				.pollExpired(nowMs)) {
				expired.result()
					.complete(reject(bucket,
							expectedWaitMs(workspace, bucket, queue.countAhead(expired.stage()), expired.stage())));
			}
		});
	}

	private UsageBucket refilledBucket(Workspace workspace) {
		long nowMs = this.timer.nowMs();
		double reachableFraction = reachableFraction();
		double capacityTokens = Math.max(1, workspace.burst() * reachableFraction);
		UsageBucket bucket = this.buckets.computeIfAbsent(workspace.id(), (id) -> {
			// After a restart, part of the burst may have been used just before.
			double initialFraction = this.isFirstStart ? 1 : 0.5;
			return new UsageBucket(capacityTokens * initialFraction, nowMs);
		});
		double refilledTokens = (nowMs - bucket.refilledMs) * workspace.ratePerSecond() * reachableFraction
				/ MS_PER_SECOND;
		bucket.tokens = Math.min(capacityTokens, bucket.tokens + refilledTokens);
		bucket.refilledMs = nowMs;
		return bucket;
	}

	private double reachableFraction() {
		return this.exchange.reachableFraction();
	}

	/**
	 * Applies admissions of other instances to the buckets of this one.
	 */
	private final class BucketListener implements UsageListener {

		@Override
		public void admittedElsewhere(WorkspaceId id, long requests) {
			Workspace workspace = limited(id);
			if (workspace != null) {
				refilledBucket(workspace).tokens -= (double) requests;
			}
		}

		@Override
		public void levelReported(WorkspaceId id, long level) {
			Workspace workspace = limited(id);
			if (workspace != null) {
				UsageBucket bucket = refilledBucket(workspace);
				bucket.tokens = Math.min(bucket.tokens, (double) level);
			}
		}

		@Override
		public boolean isLow(WorkspaceId id) {
			Workspace workspace = limited(id);
			UsageBucket bucket = UsageLimiter.this.buckets.get(id);
			return workspace != null && bucket != null && bucket.tokens < workspace.burst() * LOW_LEVEL_FRACTION;
		}

		@Override
		public Map<String, Long> levels() {
			Map<String, Long> levels = new HashMap<>();
			UsageLimiter.this.configuration.current().workspaces().forEach((id, workspace) -> {
				UsageBucket bucket = UsageLimiter.this.buckets.get(id);
				if (bucket != null && bucket.tokens < workspace.burst() * REPORTED_LEVEL_FRACTION) {
					levels.put(id.value(), (long) bucket.tokens);
				}
			});
			return levels;
		}

		private @Nullable Workspace limited(WorkspaceId id) {
			Workspace workspace = UsageLimiter.this.configuration.current().workspaces().get(id);
			return (workspace != null && workspace.ratePerSecond() > 0) ? workspace : null;
		}

	}

	private static final class UsageBucket {

		private double tokens;

		private long refilledMs;

		private UsageBucket(double tokens, long refilledMs) {
			this.tokens = tokens;
			this.refilledMs = refilledMs;
		}

	}

}
