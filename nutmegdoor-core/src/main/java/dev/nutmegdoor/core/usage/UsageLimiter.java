package dev.nutmegdoor.core.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.limit.Admission;
import dev.nutmegdoor.core.limit.RateLimiter;
import dev.nutmegdoor.core.limit.RequestStage;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Admits requests of workspaces within rate and burst of all instances together. Each
 * instance keeps a bucket per workspace, from which it takes its own admissions at once
 * and those of the others as they are reported. A bucket may fall below zero, so that an
 * excess admitted between two reports is paid back. While instances are out of reach, an
 * instance uses only the part of rate and burst that corresponds to the part of the
 * instances that it reaches. Runs on the control thread.
 */
public final class UsageLimiter implements RateLimiter {

	private static final long MS_PER_SECOND = 1_000;

	/** Part of the burst below which reports are sent more often. */
	private static final double LOW_LEVEL = 0.6;

	private final PeerTransport transport;

	private final UsagePeers peers;

	private final ConfigurationView configuration;

	private final TimerService timer;

	private final UniformRandomProvider random;

	private final EventLog events;

	private final UsageSettings settings;

	private final String incarnation;

	private final AvailabilityZone zone;

	private final String host;

	private final int port;

	private final boolean isFirstStart;

	private final long startedMs;

	private final Map<WorkspaceId, UsageBucket> buckets = new HashMap<>();

	private final Map<WorkspaceId, WaitQueue> waiting = new HashMap<>();

	private final Map<String, Long> admitted = new HashMap<>();

	private boolean isChanged = true;

	private long reportedMs = Long.MIN_VALUE / 2;

	private double shownShare = 1;

	/**
	 * Creates a limiter and subscribes to time and reports.
	 * @param transport messages to other instances
	 * @param peers the other instances
	 * @param configuration workspaces with their rates
	 * @param timer source of time
	 * @param random spreads returning clients and the tokens of a moment
	 * @param events receives changes of the reachable part
	 * @param settings figures of the exchange
	 * @param self this instance as others reach it
	 * @param isFirstStart whether the whole system starts for the first time, so that no
	 * instance can have admitted anything
	 */
	public UsageLimiter(PeerTransport transport, UsagePeers peers, ConfigurationView configuration, TimerService timer,
			UniformRandomProvider random, EventLog events, UsageSettings settings, LocalUsageEndpoint self,
			boolean isFirstStart) {
		this.transport = transport;
		this.peers = peers;
		this.configuration = configuration;
		this.timer = timer;
		this.random = random;
		this.events = events;
		this.settings = settings;
		this.incarnation = self.incarnation();
		this.zone = self.zone();
		this.host = self.host();
		this.port = self.port();
		this.isFirstStart = isFirstStart;
		this.startedMs = timer.nowMs();
		transport.subscribe(UsageReport.class, (from, report) -> {
			receive(from, report);
			return null;
		});
		timer.subscribe(settings.reportPeriodMs(), () -> {
			report();
			releaseWaiting();
		});
	}

	@Override
	public CompletableFuture<Admission> admit(WorkspaceId workspace) {
		return admit(workspace, RequestStage.CONTINUING);
	}

	@Override
	public CompletableFuture<Admission> admit(WorkspaceId workspace, RequestStage stage) {
		Workspace limited = this.configuration.current().workspaces().get(workspace);
		if (limited == null || limited.ratePerSecond() <= 0) {
			return CompletableFuture.completedFuture(new Admission(true, 0, Integer.MAX_VALUE, "unlimited"));
		}
		UsageBucket bucket = refilled(limited);
		WaitQueue line = this.waiting.computeIfAbsent(workspace, (id) -> new WaitQueue());
		if (line.ahead(stage) == 0 && bucket.tokens >= 1 + reserve(limited, stage)) {
			return CompletableFuture.completedFuture(take(limited, bucket));
		}
		long waitMs = expectedWaitMs(limited, bucket, line.ahead(stage), stage);
		if (waitMs <= stage.maxWaitMs()) {
			return line.add(stage, this.timer.nowMs() + stage.maxWaitMs());
		}
		return CompletableFuture.completedFuture(refuse(bucket, waitMs));
	}

	private Admission take(Workspace workspace, UsageBucket bucket) {
		bucket.tokens--;
		this.admitted.merge(workspace.id().value(), 1L, Long::sum);
		this.isChanged = true;
		return new Admission(true, 0, (long) Math.max(0, bucket.tokens), "within the rate");
	}

	// Clients that are refused together are told different times, so that they don't come
	// back together.
	private Admission refuse(UsageBucket bucket, long waitMs) {
		long spreadMs = this.random.nextLong(Math.max(1, waitMs / 2));
		return new Admission(false, waitMs + spreadMs, (long) Math.max(0, bucket.tokens),
				(bucket.tokens < 1) ? "exhausted" : "kept for programs under way");
	}

	private double reserve(Workspace workspace, RequestStage stage) {
		return stage.reservedShare() * workspace.burst() * share();
	}

	private long expectedWaitMs(Workspace workspace, UsageBucket bucket, int ahead, RequestStage stage) {
		double missing = Math.max(0, 1 + reserve(workspace, stage) - bucket.tokens);
		// The other instances' waiting requests take the same tokens.
		double needed = missing + (double) ahead * this.peers.known(this.timer.nowMs(), this.settings);
		return (long) Math.ceil(needed * MS_PER_SECOND / (workspace.ratePerSecond() * share()));
	}

	// Each instance lets go its part of the tokens that all of them see.
	private void releaseWaiting() {
		long nowMs = this.timer.nowMs();
		int instances = this.peers.known(nowMs, this.settings);
		this.waiting.forEach((id, line) -> {
			Workspace workspace = this.configuration.current().workspaces().get(id);
			if (line.isEmpty() || workspace == null) {
				return;
			}
			UsageBucket bucket = refilled(workspace);
			int places = (int) Math.floor(Math.max(0, bucket.tokens) / instances + this.random.nextDouble());
			double reserve = reserve(workspace, RequestStage.OPENING);
			for (int i = 0; i < places; i++) {
				WaitQueue.Waiting next = line.next(bucket.tokens, reserve);
				if (next != null) {
					next.result().complete(take(workspace, bucket));
				}
			}
			for (WaitQueue.Waiting late = line.expired(nowMs); late != null; late = line.expired(nowMs)) {
				late.result()
					.complete(
							refuse(bucket, expectedWaitMs(workspace, bucket, line.ahead(late.stage()), late.stage())));
			}
		});
	}

	private UsageBucket refilled(Workspace workspace) {
		long nowMs = this.timer.nowMs();
		double share = share();
		double capacity = Math.max(1, workspace.burst() * share);
		UsageBucket bucket = this.buckets.computeIfAbsent(workspace.id(), (id) -> {
			// After a restart the burst may have been used just before.
			double part = this.isFirstStart ? 1 : 0.5;
			return new UsageBucket(capacity * part, nowMs);
		});
		double earned = (nowMs - bucket.refilledMs) * workspace.ratePerSecond() * share / MS_PER_SECOND;
		bucket.tokens = Math.min(capacity, bucket.tokens + earned);
		bucket.refilledMs = nowMs;
		return bucket;
	}

	private double share() {
		return this.peers.reachableShare(this.timer.nowMs(), this.settings);
	}

	private void receive(InstanceId from, UsageReport report) {
		long nowMs = this.timer.nowMs();
		boolean isStarting = nowMs - this.startedMs < this.settings.startMs();
		UsagePeer peer = this.peers.heard(from, report, nowMs);
		boolean isContinuous = peer.isContinuous(report, nowMs, this.settings);
		report.admitted().forEach((name, total) -> {
			long before = peer.totals.getOrDefault(name, 0L);
			if (isContinuous && total > before) {
				take(new WorkspaceId(name), total - before);
			}
			peer.totals.put(name, total);
		});
		peer.reported(report, nowMs);
		if (isStarting && !this.isFirstStart) {
			report.levels().forEach((name, level) -> adopt(new WorkspaceId(name), level));
		}
		if (report.isStarting()) {
			this.transport.send(from, build(true));
		}
	}

	private void take(WorkspaceId id, long requests) {
		Workspace workspace = this.configuration.current().workspaces().get(id);
		if (workspace != null && workspace.ratePerSecond() > 0) {
			UsageBucket bucket = refilled(workspace);
			bucket.tokens -= (double) requests;
		}
	}

	private void adopt(WorkspaceId id, long level) {
		Workspace workspace = this.configuration.current().workspaces().get(id);
		if (workspace != null && workspace.ratePerSecond() > 0) {
			UsageBucket bucket = refilled(workspace);
			bucket.tokens = Math.min(bucket.tokens, (double) level);
		}
	}

	private void report() {
		long nowMs = this.timer.nowMs();
		double share = share();
		if (Math.abs(share - this.shownShare) > 0.01) {
			this.events.record("usage.share", "share", share, "before", this.shownShare, "known",
					this.peers.known(nowMs, this.settings));
			this.shownShare = share;
		}
		long sinceMs = nowMs - this.reportedMs;
		long periodMs = this.isChanged ? this.settings.calmPeriodMs() : this.settings.quietPeriodMs();
		if (sinceMs < periodMs && !(this.isChanged && isAnyBucketLow())) {
			return;
		}
		this.isChanged = false;
		this.reportedMs = nowMs;
		UsageReport report = build(false);
		this.peers.ids().forEach((id) -> this.transport.send(id, report));
	}

	private boolean isAnyBucketLow() {
		for (Map.Entry<WorkspaceId, Workspace> workspace : this.configuration.current().workspaces().entrySet()) {
			UsageBucket bucket = this.buckets.get(workspace.getKey());
			if (bucket != null && bucket.tokens < workspace.getValue().burst() * LOW_LEVEL) {
				return true;
			}
		}
		return false;
	}

	private UsageReport build(boolean isAnswer) {
		Map<String, Long> levels = new HashMap<>();
		this.configuration.current().workspaces().forEach((id, workspace) -> {
			UsageBucket bucket = this.buckets.get(id);
			if (bucket != null && bucket.tokens < workspace.burst() * 0.9) {
				levels.put(id.value(), (long) bucket.tokens);
			}
		});
		boolean isStarting = !isAnswer && this.timer.nowMs() - this.startedMs < this.settings.startMs();
		return new UsageReport(this.incarnation, this.zone, this.host, this.port, isStarting, this.admitted, levels);
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
